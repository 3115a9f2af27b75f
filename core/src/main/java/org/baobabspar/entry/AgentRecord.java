package org.baobabspar.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.baobabspar.message.AgentInfo;
import org.baobabspar.message.AgentState;

/**
 * What an entry knows of one incarnation of an agent.
 * <p>
 * Invariant: {@code usableUntilMillis} is never before the last moment at which a
 * dispatch of this entry could have passed the agent's gate. Used on the control thread
 * only.
 */
final class AgentRecord {

	private final AgentInfo info;

	private final Map<String, Placement> placements = new LinkedHashMap<>();

	private final Map<String, Long> usableByPeer = new HashMap<>(2);

	private final Set<String> knownToPeers = new HashSet<>(2);

	private String link;

	private AgentState state = AgentState.SERVING;

	private long heardMillis;

	private long stampMillis;

	private long sentMillis;

	private long usableUntilMillis;

	private long noticeSequence;

	private boolean own;

	private long clearedMillis = Long.MAX_VALUE;

	private int limit;

	private int failuresInRow;

	private long probeMillis;

	private long backoffMillis;

	private double slowness = 1;

	private long lastEndMillis;

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
		this.own = true;
	}

	void linkDown() {
		this.link = null;
	}

	/**
	 * Tell whether this entry itself was ever linked to the agent.
	 * @return {@code false} for an agent known from peers only
	 */
	boolean own() {
		return this.own;
	}

	AgentState state() {
		return this.state;
	}

	void state(AgentState s) {
		this.state = s;
	}

	void heard(long now, long stamp, int newLimit, int failures, long leaseMillis) {
		this.heardMillis = now;
		this.stampMillis = Math.max(this.stampMillis, stamp);
		this.limit = newLimit;
		this.failuresInRow = failures;
		this.usableUntilMillis = Math.max(this.usableUntilMillis, now + leaseMillis);
	}

	long heardMillis() {
		return this.heardMillis;
	}

	long stampMillis() {
		return this.stampMillis;
	}

	long sentMillis() {
		return this.sentMillis;
	}

	void sent(long now) {
		this.sentMillis = now;
	}

	long usableUntilMillis() {
		return this.usableUntilMillis;
	}

	Map<String, Long> usableByPeer() {
		return this.usableByPeer;
	}

	/**
	 * Return the peers that have acknowledged that they know the agent.
	 * @return references of entries, which the caller may add to
	 */
	Set<String> knownToPeers() {
		return this.knownToPeers;
	}

	/**
	 * Return when every entry was first known to know the agent.
	 * @return monotonic milliseconds, the greatest number if never
	 */
	long clearedMillis() {
		return this.clearedMillis;
	}

	void clearedAt(long now) {
		this.clearedMillis = Math.min(this.clearedMillis, now);
	}

	long noticeSequence() {
		return this.noticeSequence;
	}

	void noticed(long sequence) {
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

	long probeMillis() {
		return this.probeMillis;
	}

	long backoffMillis() {
		return this.backoffMillis;
	}

	void setAside(long probeAt, long backoff) {
		this.probeMillis = probeAt;
		this.backoffMillis = backoff;
	}

	double slowness() {
		return this.slowness;
	}

	void slowness(double s) {
		this.slowness = s;
	}

	void endedTask(long now) {
		this.lastEndMillis = now;
	}

	/**
	 * Return how long the agent has given no result although it has tasks.
	 * @param now monotonic milliseconds
	 * @return milliseconds, 0 for an idle agent
	 */
	long stalledMillis(long now) {
		if (this.placements.isEmpty()) {
			return 0;
		}
		long oldest = this.placements.values().iterator().next().placedMillis();
		return now - Math.max(oldest, this.lastEndMillis);
	}

	long documentOffset() {
		return this.documentOffset;
	}

	void documentOffset(long offset) {
		this.documentOffset = offset;
	}

}
