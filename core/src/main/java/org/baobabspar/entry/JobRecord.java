package org.baobabspar.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import org.baobabspar.document.TaskClass;
import org.baobabspar.model.Claim;
import org.baobabspar.model.CodeFamily;
import org.baobabspar.model.JobAnswer;
import org.baobabspar.model.JobSpec;
import org.baobabspar.model.ResultCode;
import org.baobabspar.model.TaskOutcome;

/**
 * One job at an entry.
 * <p>
 * Invariant: each task is in exactly one of three places: waiting, placed, or ended with
 * a result; a task comes back from placed to waiting only when it is proved that it was
 * not started. Used on the control thread only.
 */
final class JobRecord {

	private JobSpec spec;

	private final String id;

	private final long bodyHash;

	private final long arrivedMillis;

	private final long deadlineMillis;

	private final List<Waiter> waiters = new ArrayList<>(1);

	private final Set<String> remoteWaiters = new LinkedHashSet<>(0);

	private final Set<String> pendingReplies = new HashSet<>(0);

	private final Set<String> fencedAgents = new HashSet<>(0);

	private final Deque<Integer> waiting = new ArrayDeque<>();

	private final Map<Integer, Placement> placements = new HashMap<>();

	private final byte[][] results;

	private TaskClass taskClass;

	private long documentVersion;

	private Claim claim;

	private JobState state = JobState.ASKING;

	private long firstAttemptMillis;

	private boolean trusted;

	private boolean fenceNeeded;

	private boolean asked;

	private long phaseMillis;

	private String holder = "";

	private boolean fencedOut;

	private boolean unproved;

	private long claimedMillis;

	private long contestedMillis = Long.MAX_VALUE;

	private int coveredAttempt;

	private Waiter opener;

	private int endedTasks;

	private boolean started;

	private long firstStartMillis = -1;

	private ResultCode recallNotRun;

	private ResultCode recallStarted;

	private JobAnswer answer;

	private long endedMillis;

	JobRecord(JobSpec spec, Claim claim, long now) {
		this.spec = spec;
		this.id = spec.id();
		this.bodyHash = spec.bodyHash();
		this.claim = claim;
		this.coveredAttempt = Math.max(0, claim.attempt() - 1);
		this.arrivedMillis = now;
		this.claimedMillis = now;
		this.deadlineMillis = now + spec.deadlineMillis();
		this.results = new byte[spec.tasks().size()][];
	}

	JobSpec spec() {
		return this.spec;
	}

	String id() {
		return this.id;
	}

	long bodyHash() {
		return this.bodyHash;
	}

	String party() {
		return this.spec.party();
	}

	TaskClass taskClass() {
		return this.taskClass;
	}

	long documentVersion() {
		return this.documentVersion;
	}

	void judgedBy(TaskClass c, long version) {
		this.taskClass = c;
		this.documentVersion = version;
	}

	long arrivedMillis() {
		return this.arrivedMillis;
	}

	long deadlineMillis() {
		return this.deadlineMillis;
	}

	Claim claim() {
		return this.claim;
	}

	void reclaim(Claim c) {
		this.claim = c;
	}

	Claim raiseClaim() {
		this.claim = this.claim.next();
		return this.claim;
	}

	JobState state() {
		return this.state;
	}

	void enter(JobState s, long now) {
		this.state = s;
		this.phaseMillis = now;
	}

	/**
	 * Wait for the answer of another entry, whose holding the job also shows that there
	 * are other attempts.
	 * @param address the other entry
	 * @param now monotonic milliseconds
	 */
	void attach(String address, long now) {
		this.trusted = false;
		this.holder = address;
		this.pendingReplies.clear();
		enter(JobState.ATTACHED, now);
	}

	/**
	 * Tell whether a new submission may take the place of this one.
	 * @return {@code true} if it was not run or its outcome is not known
	 */
	boolean replaceable() {
		if (this.state != JobState.ENDED) {
			return false;
		}
		CodeFamily f = this.answer.resultCode().family();
		return f == CodeFamily.NOT_RUN || f == CodeFamily.UNKNOWN;
	}

	long phaseMillis() {
		return this.phaseMillis;
	}

	long firstAttemptMillis() {
		return this.firstAttemptMillis;
	}

	/**
	 * Tell whether the caller declared a first attempt and nothing speaks against it.
	 * @return {@code true} if no earlier attempt has to be looked for in doubt
	 */
	boolean trusted() {
		return this.trusted;
	}

	/**
	 * Note when the present claim was made: agents that came up later have not seen it.
	 * @param now monotonic milliseconds
	 */
	void claimedAt(long now) {
		this.claimedMillis = now;
	}

	/**
	 * Note that a higher claim may have been made unseen after a moment.
	 * @param since the last moment at which all entries were in touch
	 */
	void contest(long since) {
		this.unproved = true;
		this.contestedMillis = Math.min(this.contestedMillis, Math.max(since, this.claimedMillis));
	}

	/**
	 * Return until when an agent must have been known to all entries to be given tasks of
	 * this job: a higher claim made later has fenced those agents, but not newer ones.
	 * @return monotonic milliseconds
	 */
	long contestedMillis() {
		return this.contestedMillis;
	}

	/**
	 * Note that other attempts may have gone on unseen, as during a pause of this
	 * process.
	 */
	void unprove() {
		this.unproved = true;
	}

	/**
	 * Tell whether it must not be said that nothing was run.
	 * @return {@code true} if another attempt may have gone on unseen
	 */
	boolean unproved() {
		return this.unproved;
	}

	void origin(long firstMillis, boolean trust) {
		this.firstAttemptMillis = firstMillis;
		this.trusted = trust;
	}

	boolean fenceNeeded() {
		return this.fenceNeeded;
	}

	void needFence() {
		this.fenceNeeded = true;
	}

	/**
	 * Tell whether other entries were asked under the present claim.
	 * @return {@code true} once they were
	 */
	boolean asked() {
		return this.asked;
	}

	void asked(boolean value) {
		this.asked = value;
	}

	Set<String> pendingReplies() {
		return this.pendingReplies;
	}

	/**
	 * Return the agents that have answered the fence of the present claim.
	 * @return references of agents
	 */
	Set<String> fencedAgents() {
		return this.fencedAgents;
	}

	String holder() {
		return this.holder;
	}

	void holder(String address) {
		this.holder = address;
	}

	/**
	 * Tell whether another entry has promised to give way to a higher claim.
	 * @return {@code true} if the job cannot go on under its claim
	 */
	boolean fencedOut() {
		return this.fencedOut;
	}

	void fencedOut(boolean value) {
		this.fencedOut = value;
	}

	List<Waiter> waiters() {
		return this.waiters;
	}

	/**
	 * Add a caller. As long as the attempts that come here follow one another without a
	 * gap, none of them can be elsewhere.
	 * @param w the caller
	 */
	void addWaiter(Waiter w) {
		this.waiters.add(w);
		this.opener = (this.opener != null) ? this.opener : w;
		if (w.attempt() == this.coveredAttempt + 1) {
			this.coveredAttempt++;
		}
	}

	/**
	 * Tell whether an attempt between the claim of this job and a caller's may be
	 * elsewhere.
	 * @param w the caller
	 * @return {@code true} if the caller must not be told that nothing was run
	 */
	boolean mayBeElsewhere(Waiter w) {
		return this.opener != w && (w.attempt() == 0 || w.attempt() > this.coveredAttempt);
	}

	Set<String> remoteWaiters() {
		return this.remoteWaiters;
	}

	Map<Integer, Placement> placements() {
		return this.placements;
	}

	int waitingTasks() {
		return this.waiting.size();
	}

	/**
	 * Put every task that is neither placed nor ended in line, the longest declared
	 * first.
	 */
	void fillQueue() {
		this.waiting.clear();
		IntStream.range(0, this.results.length)
			.filter((i) -> this.results[i] == null && !this.placements.containsKey(i))
			.boxed()
			.sorted(Comparator.comparingLong((i) -> -this.spec.tasks().get(i).declaredMillis()))
			.forEach(this.waiting::add);
	}

	void clearQueue() {
		this.waiting.clear();
	}

	int pollTask() {
		return this.waiting.poll();
	}

	void place(Placement p) {
		this.placements.put(p.index(), p);
		if (this.firstStartMillis < 0) {
			this.firstStartMillis = p.placedMillis();
		}
		this.started |= p.adopted();
	}

	/**
	 * Take back a task that was proved not to be started.
	 * @param p its placement
	 */
	void withdraw(Placement p) {
		this.placements.remove(p.index());
		if (this.state == JobState.RUNNING) {
			this.waiting.addFirst(p.index());
		}
	}

	/**
	 * Record the end of a task.
	 * @param o its outcome
	 * @return {@code true} if it was not recorded before
	 */
	boolean record(TaskOutcome o) {
		this.started = true;
		this.placements.remove(o.index());
		if (this.results[o.index()] != null) {
			return false;
		}
		this.waiting.remove(o.index());
		this.results[o.index()] = o.result();
		this.endedTasks++;
		return true;
	}

	void noteStarted() {
		this.started = true;
	}

	boolean started() {
		return this.started;
	}

	/**
	 * Tell whether the job's own class bound on waiting still applies.
	 * @return {@code true} if no task was ever placed or adopted
	 */
	boolean untouched() {
		return this.firstStartMillis < 0 && !this.started;
	}

	boolean wholeResult() {
		return this.endedTasks == this.results.length;
	}

	boolean accountedFor() {
		return this.endedTasks + this.placements.size() == this.results.length;
	}

	List<byte[]> results() {
		return List.of(this.results);
	}

	void recall(ResultCode notRun, ResultCode startedCode) {
		this.recallNotRun = notRun;
		this.recallStarted = startedCode;
	}

	ResultCode recallCode() {
		return this.started ? this.recallStarted : this.recallNotRun;
	}

	void end(JobAnswer a, long now) {
		this.answer = a;
		this.endedMillis = now;
		this.spec = this.spec.withoutPayloads();
		this.state = JobState.ENDED;
		this.waiting.clear();
		this.pendingReplies.clear();
		this.placements.clear();
	}

	/**
	 * Drop the results of an ended job to save memory. A resubmission then asks the
	 * agents, which keep them too.
	 */
	void dropResults() {
		this.answer = JobAnswer.failed(this.id, ResultCode.OUTCOME_UNKNOWN, "the answer is no longer held here");
		Arrays.fill(this.results, null);
	}

	int resultBytes() {
		int n = 0;
		for (byte[] r : this.answer.results()) {
			n += r.length;
		}
		return n;
	}

	JobAnswer answer() {
		return this.answer;
	}

	long endedMillis() {
		return this.endedMillis;
	}

	JobSummary summary(long now) {
		long first = (this.firstStartMillis >= 0) ? this.firstStartMillis : now;
		return new JobSummary(this.id, party(), this.spec.taskClass(), this.results.length, this.answer.resultCode(),
				now - this.arrivedMillis, first - this.arrivedMillis);
	}

}
