package org.baobabspar.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.baobabspar.message.AgentInfo;
import org.baobabspar.message.AgentState;

/**
 * The state of one incarnation of an agent at an entry.
 * <p>
 * Invariant: {@code usableUntilMillis} is never earlier than the last time at which the
 * agent could have accepted a dispatch of this entry. Not thread-safe; used on the
 * control thread only.
 */
final class AgentRecord {

	private final AgentInfo info;

	private final Map<String, Placement> placements = new LinkedHashMap<>();

	private final Map<String, Long> usableUntilByPeer = new HashMap<>(2);

	private final Set<String> knownToPeers = new HashSet<>(2);

	private String link;

	private AgentState state = AgentState.SERVING;

	private long lastHeardMillis;

	private long agentStampMillis;

	private long lastSentMillis;

	private long usableUntilMillis;

	private long noticeSequence;

	private boolean everLinked;

	private long knownToAllSinceMillis = Long.MAX_VALUE;

	private int limit;

	private int failuresInRow;

	private long nextProbeMillis;

	private long probeBackoffMillis;

	private double slowdown = 1;

	private long lastTaskEndMillis;

	private long documentOffset = -1;

	AgentRecord(AgentInfo info) {
		this.info = info;
	}

	AgentInfo info() {
		return this.info;
	}

	String ref() {
		return this.info.ref();
	}

	String link() {
		return this.link;
	}

	boolean linked() {
		return this.link != null;
	}

	void linkUp(String name) {
		this.link = name;
		this.everLinked = true;
	}

	void linkDown() {
		this.link = null;
	}

	/**
	 * Returns whether this entry itself was ever linked to the agent.
	 * @return {@code false} for an agent known from peers only
	 */
	boolean everLinked() {
		return this.everLinked;
	}

	AgentState state() {
		return this.state;
	}

	void setState(AgentState newState) {
		this.state = newState;
	}

	void recordContact(long now, long newStampMillis, int newLimit, int newFailuresInRow, long leaseMillis) {
		this.lastHeardMillis = now;
		this.agentStampMillis = Math.max(this.agentStampMillis, newStampMillis);
		this.limit = newLimit;
		this.failuresInRow = newFailuresInRow;
		this.usableUntilMillis = Math.max(this.usableUntilMillis, now + leaseMillis);
	}

	long lastHeardMillis() {
		return this.lastHeardMillis;
	}

	long agentStampMillis() {
		return this.agentStampMillis;
	}

	long lastSentMillis() {
		return this.lastSentMillis;
	}

	void recordSend(long now) {
		this.lastSentMillis = now;
	}

	long usableUntilMillis() {
		return this.usableUntilMillis;
	}

	Map<String, Long> usableUntilByPeer() {
		return this.usableUntilByPeer;
	}

	/**
	 * Returns the peers that have acknowledged that they know the agent.
	 * @return the references of these entries, as a modifiable set
	 */
	Set<String> knownToPeers() {
		return this.knownToPeers;
	}

	/**
	 * Returns the first time at which every entry was known to know the agent.
	 * @return monotonic milliseconds, {@link Long#MAX_VALUE} if never
	 */
	long knownToAllSinceMillis() {
		return this.knownToAllSinceMillis;
	}

	void markKnownToAll(long now) {
		this.knownToAllSinceMillis = Math.min(this.knownToAllSinceMillis, now);
	}

	long noticeSequence() {
		return this.noticeSequence;
	}

	void setNoticeSequence(long sequence) {
		this.noticeSequence = sequence;
	}

	int limit() {
		return this.limit;
	}

	int failuresInRow() {
		return this.failuresInRow;
	}

	Map<String, Placement> placements() {
		return this.placements;
	}

	int inFlight() {
		return this.placements.size();
	}

	int freeCredits() {
		return Math.max(0, this.limit - this.placements.size());
	}

	long nextProbeMillis() {
		return this.nextProbeMillis;
	}

	long probeBackoffMillis() {
		return this.probeBackoffMillis;
	}

	void scheduleProbe(long probeMillis, long backoffMillis) {
		this.nextProbeMillis = probeMillis;
		this.probeBackoffMillis = backoffMillis;
	}

	double slowdown() {
		return this.slowdown;
	}

	void setSlowdown(double newSlowdown) {
		this.slowdown = newSlowdown;
	}

	void recordTaskEnd(long now) {
		this.lastTaskEndMillis = now;
	}

	/**
	 * Returns how long the agent has reported no result although it has outstanding
	 * tasks.
	 * @param now monotonic milliseconds
	 * @return milliseconds, 0 for an idle agent
	 */
	long stalledMillis(long now) {
		if (this.placements.isEmpty()) {
			return 0;
		}
		long oldestPlacedMillis = this.placements.values().iterator().next().placedMillis();
		return now - Math.max(oldestPlacedMillis, this.lastTaskEndMillis);
	}

	long documentOffset() {
		return this.documentOffset;
	}

	void setDocumentOffset(long offset) {
		this.documentOffset = offset;
	}

}
