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

	private final List<PendingRequest> pendingRequests = new ArrayList<>(1);

	private final Set<String> subscribedPeers = new LinkedHashSet<>(0);

	private final Set<String> pendingReplies = new HashSet<>(0);

	private final Set<String> fencedAgents = new HashSet<>(0);

	private final Deque<Integer> waitingIndexes = new ArrayDeque<>();

	private final Map<Integer, Placement> placements = new HashMap<>();

	private final byte[][] results;

	private TaskClass taskClass;

	private long documentVersion;

	private Claim claim;

	private JobState state = JobState.QUERYING_PEERS;

	private long firstAttemptMillis;

	private boolean presumedFirst;

	private boolean fenceRequired;

	private boolean peersQueried;

	private long stateSinceMillis;

	private String holder = "";

	private boolean superseded;

	private boolean unseenAttemptsPossible;

	private long claimMadeMillis;

	private long contestedSinceMillis = Long.MAX_VALUE;

	private int lastContiguousAttempt;

	private PendingRequest firstRequest;

	private int endedTaskCount;

	private boolean anyTaskStarted;

	private long firstStartMillis = -1;

	private ResultCode recallCodeIfNotRun;

	private ResultCode recallCodeIfStarted;

	private JobAnswer answer;

	private long endedMillis;

	JobRecord(JobSpec spec, Claim claim, long now) {
		this.spec = spec;
		this.id = spec.id();
		this.bodyHash = spec.bodyHash();
		this.claim = claim;
		this.lastContiguousAttempt = Math.max(0, claim.attempt() - 1);
		this.arrivedMillis = now;
		this.claimMadeMillis = now;
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

	void applyDocument(TaskClass appliedClass, long version) {
		this.taskClass = appliedClass;
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

	void replaceClaim(Claim claim) {
		this.claim = claim;
	}

	Claim advanceClaim() {
		this.claim = this.claim.next();
		return this.claim;
	}

	JobState state() {
		return this.state;
	}

	void transitionTo(JobState newState, long now) {
		this.state = newState;
		this.stateSinceMillis = now;
	}

	/**
	 * Wait for the answer of another entry, whose holding the job also shows that there
	 * are other attempts.
	 * @param address the other entry
	 * @param now monotonic milliseconds
	 */
	void attach(String address, long now) {
		this.presumedFirst = false;
		this.holder = address;
		this.pendingReplies.clear();
		transitionTo(JobState.ATTACHED, now);
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

	long stateSinceMillis() {
		return this.stateSinceMillis;
	}

	long firstAttemptMillis() {
		return this.firstAttemptMillis;
	}

	/**
	 * Tell whether the caller declared a first attempt and nothing speaks against it.
	 * @return {@code true} if no earlier attempt has to be looked for in doubt
	 */
	boolean presumedFirst() {
		return this.presumedFirst;
	}

	/**
	 * Note when the present claim was made: agents that came up later have not seen it.
	 * @param now monotonic milliseconds
	 */
	void recordClaimMade(long now) {
		this.claimMadeMillis = now;
	}

	/**
	 * Note that a higher claim may have been made unseen after a moment.
	 * @param since the last moment at which all entries were in touch
	 */
	void markContested(long since) {
		this.unseenAttemptsPossible = true;
		this.contestedSinceMillis = Math.min(this.contestedSinceMillis, Math.max(since, this.claimMadeMillis));
	}

	/**
	 * Return until when an agent must have been known to all entries to be given tasks of
	 * this job: a higher claim made later has fenced those agents, but not newer ones.
	 * @return monotonic milliseconds
	 */
	long contestedSinceMillis() {
		return this.contestedSinceMillis;
	}

	/**
	 * Note that other attempts may have gone on unseen, as during a pause of this
	 * process.
	 */
	void markUnseenAttemptsPossible() {
		this.unseenAttemptsPossible = true;
	}

	/**
	 * Tell whether it must not be said that nothing was run.
	 * @return {@code true} if another attempt may have gone on unseen
	 */
	boolean unseenAttemptsPossible() {
		return this.unseenAttemptsPossible;
	}

	void setOrigin(long firstMillis, boolean presumed) {
		this.firstAttemptMillis = firstMillis;
		this.presumedFirst = presumed;
	}

	boolean fenceRequired() {
		return this.fenceRequired;
	}

	void requireFence() {
		this.fenceRequired = true;
	}

	/**
	 * Tell whether other entries were asked under the present claim.
	 * @return {@code true} once they were
	 */
	boolean peersQueried() {
		return this.peersQueried;
	}

	void setPeersQueried(boolean value) {
		this.peersQueried = value;
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

	void setHolder(String address) {
		this.holder = address;
	}

	/**
	 * Tell whether another entry has promised to give way to a higher claim.
	 * @return {@code true} if the job cannot go on under its claim
	 */
	boolean superseded() {
		return this.superseded;
	}

	void setSuperseded(boolean value) {
		this.superseded = value;
	}

	List<PendingRequest> pendingRequests() {
		return this.pendingRequests;
	}

	/**
	 * Add a caller. As long as the attempts that come here follow one another without a
	 * gap, none of them can be elsewhere.
	 * @param request the caller
	 */
	void addRequest(PendingRequest request) {
		this.pendingRequests.add(request);
		this.firstRequest = (this.firstRequest != null) ? this.firstRequest : request;
		if (request.attempt() == this.lastContiguousAttempt + 1) {
			this.lastContiguousAttempt++;
		}
	}

	/**
	 * Tell whether an attempt between the claim of this job and a caller's may be
	 * elsewhere.
	 * @param request the caller
	 * @return {@code true} if the caller must not be told that nothing was run
	 */
	boolean mayHaveAttemptElsewhere(PendingRequest request) {
		return this.firstRequest != request
				&& (request.attempt() == 0 || request.attempt() > this.lastContiguousAttempt);
	}

	Set<String> subscribedPeers() {
		return this.subscribedPeers;
	}

	Map<Integer, Placement> placements() {
		return this.placements;
	}

	int waitingTasks() {
		return this.waitingIndexes.size();
	}

	/**
	 * Put every task that is neither placed nor ended in line, the longest declared
	 * first.
	 */
	void enqueueRemainingTasks() {
		this.waitingIndexes.clear();
		IntStream.range(0, this.results.length)
			.filter((i) -> this.results[i] == null && !this.placements.containsKey(i))
			.boxed()
			.sorted(Comparator.comparingLong((i) -> -this.spec.tasks().get(i).declaredMillis()))
			.forEach(this.waitingIndexes::add);
	}

	void clearWaitingTasks() {
		this.waitingIndexes.clear();
	}

	int pollWaitingTask() {
		return this.waitingIndexes.poll();
	}

	void addPlacement(Placement placement) {
		this.placements.put(placement.index(), placement);
		if (this.firstStartMillis < 0) {
			this.firstStartMillis = placement.placedMillis();
		}
		this.anyTaskStarted |= placement.adopted();
	}

	/**
	 * Take back a task that was proved not to be started.
	 * @param placement its placement
	 */
	void returnToWaiting(Placement placement) {
		this.placements.remove(placement.index());
		if (this.state == JobState.RUNNING) {
			this.waitingIndexes.addFirst(placement.index());
		}
	}

	/**
	 * Record the end of a task.
	 * @param outcome its outcome
	 * @return {@code true} if it was not recorded before
	 */
	boolean recordOutcome(TaskOutcome outcome) {
		this.anyTaskStarted = true;
		this.placements.remove(outcome.index());
		if (this.results[outcome.index()] != null) {
			return false;
		}
		this.waitingIndexes.remove(outcome.index());
		this.results[outcome.index()] = outcome.result();
		this.endedTaskCount++;
		return true;
	}

	void markStarted() {
		this.anyTaskStarted = true;
	}

	boolean anyTaskStarted() {
		return this.anyTaskStarted;
	}

	/**
	 * Tell whether the job's own class bound on waiting still applies.
	 * @return {@code true} if no task was ever placed or adopted
	 */
	boolean neverPlaced() {
		return this.firstStartMillis < 0 && !this.anyTaskStarted;
	}

	boolean allTasksEnded() {
		return this.endedTaskCount == this.results.length;
	}

	boolean allTasksPlacedOrEnded() {
		return this.endedTaskCount + this.placements.size() == this.results.length;
	}

	List<byte[]> results() {
		return List.of(this.results);
	}

	void setRecallCodes(ResultCode ifNotRun, ResultCode ifStarted) {
		this.recallCodeIfNotRun = ifNotRun;
		this.recallCodeIfStarted = ifStarted;
	}

	ResultCode recallCode() {
		return this.anyTaskStarted ? this.recallCodeIfStarted : this.recallCodeIfNotRun;
	}

	void end(JobAnswer finalAnswer, long now) {
		this.answer = finalAnswer;
		this.endedMillis = now;
		this.spec = this.spec.emptied();
		this.state = JobState.ENDED;
		this.waitingIndexes.clear();
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
		int totalBytes = 0;
		for (byte[] result : this.answer.results()) {
			totalBytes += result.length;
		}
		return totalBytes;
	}

	JobAnswer answer() {
		return this.answer;
	}

	long endedMillis() {
		return this.endedMillis;
	}

	JobSummary summary(long now) {
		long firstStart = (this.firstStartMillis >= 0) ? this.firstStartMillis : now;
		return new JobSummary(this.id, party(), this.spec.taskClass(), this.results.length, this.answer.resultCode(),
				now - this.arrivedMillis, firstStart - this.arrivedMillis);
	}

}
