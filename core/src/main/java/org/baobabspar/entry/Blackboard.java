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
 * The state of an entry that its controllers share. Controllers read and write it and do
 * not call each other for state.
 * <p>
 * Invariant: {@code now} never goes down. Used on the control thread only.
 */
final class Blackboard {

	private final EntryInfo self;

	private final EntrySettings settings;

	private final EntryOutbox out;

	private final SplittableRandom random;

	private final Map<String, AgentRecord> agents = new LinkedHashMap<>();

	private final Map<String, AgentRecord> agentsByLink = new HashMap<>();

	private final Map<String, PeerRecord> peers = new LinkedHashMap<>();

	private final Map<String, EntryInfo> peerLinks = new HashMap<>();

	private final Map<String, JobRecord> jobs = new LinkedHashMap<>();

	private final Map<String, JobRecord> liveJobs = new LinkedHashMap<>();

	private final Map<String, FencedKey> fencedKeys = new LinkedHashMap<>();

	private final Map<Long, PendingFence> pendingFences = new LinkedHashMap<>();

	private final List<LostEntry> lostEntries = new ArrayList<>();

	private final FairQueue queue = new FairQueue();

	private final ServiceModel model = new ServiceModel();

	private final UsageCounters usage = new UsageCounters();

	private long now;

	private long lastId;

	private long noticeSequence;

	private long knownSinceMillis;

	private long quarantineUntilMillis;

	private boolean draining;

	private DocumentVersion production;

	private DocumentVersion trial;

	Blackboard(EntryInfo self, EntrySettings settings, EntryOutbox out, long now, long seed) {
		this.self = self;
		this.settings = settings;
		this.out = out;
		this.random = new SplittableRandom(seed);
		this.now = now;
		this.knownSinceMillis = now;
		this.quarantineUntilMillis = now + settings.quarantineMillis();
	}

	EntryInfo self() {
		return this.self;
	}

	EntrySettings settings() {
		return this.settings;
	}

	EntryOutbox out() {
		return this.out;
	}

	void send(String link, Message m) {
		this.out.send(link, m);
	}

	SplittableRandom random() {
		return this.random;
	}

	long now() {
		return this.now;
	}

	void advance(long time) {
		this.now = Math.max(this.now, time);
	}

	/**
	 * Return a number that was never returned before, larger than all earlier ones.
	 * @return a number for a dispatch, a fence or an ask
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
	 * Return the peers.
	 * @return peers by the address that this entry dials
	 */
	Map<String, PeerRecord> peers() {
		return this.peers;
	}

	/**
	 * Return the entries that have opened a link to this one.
	 * @return entries by the name of the link
	 */
	Map<String, EntryInfo> peerLinks() {
		return this.peerLinks;
	}

	List<EntryInfo> peerInfos() {
		return this.peers.values().stream().filter((p) -> p.info() != null && !p.gone()).map(PeerRecord::info).toList();
	}

	Map<String, JobRecord> jobs() {
		return this.jobs;
	}

	Map<String, JobRecord> liveJobs() {
		return this.liveJobs;
	}

	Collection<JobRecord> liveJobsNow() {
		return List.copyOf(this.liveJobs.values());
	}

	Map<String, FencedKey> fencedKeys() {
		return this.fencedKeys;
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

	ServiceModel model() {
		return this.model;
	}

	UsageCounters usage() {
		return this.usage;
	}

	long noticeSequence() {
		return this.noticeSequence;
	}

	long nextNotice() {
		return ++this.noticeSequence;
	}

	/**
	 * Return since when this entry knows of every agent and entry that was lost.
	 * @return monotonic milliseconds
	 */
	long knownSinceMillis() {
		return this.knownSinceMillis;
	}

	void knowSince(long time) {
		this.knownSinceMillis = Math.min(this.knownSinceMillis, time);
	}

	boolean quarantined() {
		return this.now < this.quarantineUntilMillis;
	}

	void quarantine() {
		this.quarantineUntilMillis = this.now + this.settings.quarantineMillis();
	}

	boolean draining() {
		return this.draining;
	}

	void drain() {
		this.draining = true;
	}

	Optional<DocumentVersion> production() {
		return Optional.ofNullable(this.production);
	}

	void production(DocumentVersion v) {
		this.production = v;
	}

	Optional<DocumentVersion> trial() {
		return Optional.ofNullable(this.trial);
	}

	void trial(DocumentVersion v) {
		this.trial = v;
	}

	Optional<DocumentVersion> document(Stage stage) {
		return (stage == Stage.TRIAL) ? trial() : production();
	}

	Limits limits() {
		return production().map(DocumentVersion::document).map(EnvironmentDocument::limits).orElse(Limits.DEFAULTS);
	}

}
