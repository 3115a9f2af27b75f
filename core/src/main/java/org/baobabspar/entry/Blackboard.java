package org.baobabspar.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.baobabspar.document.DocumentVersion;
import org.baobabspar.document.EnvironmentDocument;
import org.baobabspar.document.Limits;
import org.baobabspar.message.EntryInfo;
import org.baobabspar.message.Message;
import org.baobabspar.model.Stage;
import org.baobabspar.usage.UsageCounters;

/**
 * The blackboard of an entry: the state that its controllers share. Controllers read and
 * update it directly and do not query each other for state.
 * <p>
 * Invariant: {@code now} never decreases. Not thread-safe; used on the control thread
 * only.
 */
final class Blackboard {

	private final EntryInfo self;

	private final EntrySettings settings;

	private final EntryOutbox outbox;

	private final SplittableRandom random;

	private final Map<String, AgentRecord> agents = new LinkedHashMap<>();

	private final Map<String, AgentRecord> agentsByLink = new HashMap<>();

	private final Map<String, PeerRecord> peers = new LinkedHashMap<>();

	private final Map<String, EntryInfo> entriesByLink = new HashMap<>();

	private final Map<String, JobRecord> jobs = new LinkedHashMap<>();

	private final Map<String, JobRecord> liveJobs = new LinkedHashMap<>();

	private final Map<String, ClaimPromise> claimPromises = new LinkedHashMap<>();

	private final Map<Long, PendingFence> pendingFences = new LinkedHashMap<>();

	private final List<LostEntry> lostEntries = new ArrayList<>();

	private final FairQueue queue = new FairQueue();

	private final ServiceTimeModel serviceTimes = new ServiceTimeModel();

	private final UsageCounters usage = new UsageCounters();

	private long now;

	private long lastId;

	private long noticeSequence;

	private long lossesKnownSinceMillis;

	private long quarantineUntilMillis;

	private boolean draining;

	private DocumentVersion production;

	private DocumentVersion trial;

	Blackboard(EntryInfo self, EntrySettings settings, EntryOutbox out, long now, long seed) {
		this.self = self;
		this.settings = settings;
		this.outbox = out;
		this.random = new SplittableRandom(seed);
		this.now = now;
		this.lossesKnownSinceMillis = now;
		this.quarantineUntilMillis = now + settings.quarantineMillis();
	}

	EntryInfo self() {
		return this.self;
	}

	EntrySettings settings() {
		return this.settings;
	}

	EntryOutbox outbox() {
		return this.outbox;
	}

	void send(String link, Message message) {
		this.outbox.send(link, message);
	}

	SplittableRandom random() {
		return this.random;
	}

	long now() {
		return this.now;
	}

	void advanceClock(long newNow) {
		this.now = Math.max(this.now, newNow);
	}

	/**
	 * Returns a unique identifier that is greater than all earlier ones.
	 * @return an identifier for a dispatch, a fence or a job query
	 */
	long nextId() {
		return ++this.lastId;
	}

	long lastId() {
		return this.lastId;
	}

	Map<String, AgentRecord> agents() {
		return this.agents;
	}

	Map<String, AgentRecord> agentsByLink() {
		return this.agentsByLink;
	}

	Optional<AgentRecord> agent(String ref) {
		return Optional.ofNullable(this.agents.get(ref));
	}

	/**
	 * Returns the peers.
	 * @return the peers by the address that this entry dials
	 */
	Map<String, PeerRecord> peers() {
		return this.peers;
	}

	/**
	 * Returns the entries that have opened a link to this one.
	 * @return the entries by link name
	 */
	Map<String, EntryInfo> entriesByLink() {
		return this.entriesByLink;
	}

	List<EntryInfo> peerInfos() {
		return this.peers.values()
			.stream()
			.filter((p) -> p.info() != null && !p.terminated())
			.map(PeerRecord::info)
			.toList();
	}

	Map<String, JobRecord> jobs() {
		return this.jobs;
	}

	Map<String, JobRecord> liveJobs() {
		return this.liveJobs;
	}

	Collection<JobRecord> liveJobsSnapshot() {
		return List.copyOf(this.liveJobs.values());
	}

	Map<String, ClaimPromise> claimPromises() {
		return this.claimPromises;
	}

	Map<Long, PendingFence> pendingFences() {
		return this.pendingFences;
	}

	List<LostEntry> lostEntries() {
		return this.lostEntries;
	}

	FairQueue queue() {
		return this.queue;
	}

	ServiceTimeModel serviceTimes() {
		return this.serviceTimes;
	}

	UsageCounters usage() {
		return this.usage;
	}

	long noticeSequence() {
		return this.noticeSequence;
	}

	long nextNoticeSequence() {
		return ++this.noticeSequence;
	}

	/**
	 * Returns the time since when this entry knows of every agent and entry that was
	 * lost.
	 * @return monotonic milliseconds
	 */
	long lossesKnownSinceMillis() {
		return this.lossesKnownSinceMillis;
	}

	void extendLossesKnownSince(long sinceMillis) {
		this.lossesKnownSinceMillis = Math.min(this.lossesKnownSinceMillis, sinceMillis);
	}

	boolean quarantined() {
		return this.now < this.quarantineUntilMillis;
	}

	void startQuarantine() {
		this.quarantineUntilMillis = this.now + this.settings.quarantineMillis();
	}

	boolean draining() {
		return this.draining;
	}

	void startDraining() {
		this.draining = true;
	}

	Optional<DocumentVersion> production() {
		return Optional.ofNullable(this.production);
	}

	void setProduction(DocumentVersion version) {
		this.production = version;
	}

	Optional<DocumentVersion> trial() {
		return Optional.ofNullable(this.trial);
	}

	void setTrial(DocumentVersion version) {
		this.trial = version;
	}

	Optional<DocumentVersion> document(Stage stage) {
		return (stage == Stage.TRIAL) ? trial() : production();
	}

	Limits limits() {
		return production().map(DocumentVersion::document).map(EnvironmentDocument::limits).orElse(Limits.DEFAULTS);
	}

}
