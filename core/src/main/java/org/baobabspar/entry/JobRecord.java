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
 * The state of one job at an entry.
 * <p>
 * Invariant: each task is in exactly one of three states: waiting, placed, or ended with
 * a result. A placed task returns to waiting only when it is proved not to have been
 * started. Not thread-safe; used on the control thread only.
 */
final class JobRecord {

	private JobSpec spec;

	private final String id;

	private final long bodyHash;

	private final long arrivedMillis;

	private final long deadlineMillis;

	private final List<PendingRequest> pendingRequests = new ArrayList<>(1);

	private final Set<String> subscribedLinks = new LinkedHashSet<>(0);

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
	 * Attaches the job to another entry that holds it and will send the answer. That the
	 * other entry holds the job also shows that there are other attempts.
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
	 * Returns whether a new submission may replace this record.
	 * @return {@code true} if the job was not run or its outcome is not known
	 */
	boolean replaceable() {
		if (this.state != JobState.ENDED) {
			return false;
		}
		CodeFamily family = this.answer.resultCode().family();
		return family == CodeFamily.NOT_RUN || family == CodeFamily.UNKNOWN;
	}

	long stateSinceMillis() {
		return this.stateSinceMillis;
	}

	long firstAttemptMillis() {
		return this.firstAttemptMillis;
	}

	/**
	 * Returns whether this is presumed to be the first attempt: the caller declared it so
	 * and nothing contradicts it.
	 * @return {@code true} if no earlier attempt has to be taken into account
	 */
	boolean presumedFirst() {
		return this.presumedFirst;
	}

	/**
	 * Records when the current claim was made. Agents that started later have not seen
	 * the claim.
	 * @param now monotonic milliseconds
	 */
	void recordClaimMade(long now) {
		this.claimMadeMillis = now;
	}

	/**
	 * Records that a higher claim may have been made unnoticed after a point in time.
	 * @param since the last time at which all entries were responsive
	 */
	void markContested(long since) {
		this.unseenAttemptsPossible = true;
		this.contestedSinceMillis = Math.min(this.contestedSinceMillis, Math.max(since, this.claimMadeMillis));
	}

	/**
	 * Returns the time by which an agent must have been known to all entries to receive
	 * tasks of this job: a higher claim made later has fenced the agents known by then,
	 * but not newer ones.
	 * @return monotonic milliseconds
	 */
	long contestedSinceMillis() {
		return this.contestedSinceMillis;
	}

	/**
	 * Records that other attempts may have been made unnoticed, for example while this
	 * process was paused.
	 */
	void markUnseenAttemptsPossible() {
		this.unseenAttemptsPossible = true;
	}

	/**
	 * Returns whether other attempts may have been made unnoticed, in which case the job
	 * must not be answered as not run.
	 * @return {@code true} if another attempt may exist
	 */
	boolean unseenAttemptsPossible() {
		return this.unseenAttemptsPossible;
	}

	void setFirstAttempt(long firstMillis, boolean presumed) {
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
	 * Returns whether other entries or agents were told of the current claim.
	 * @return {@code true} if the claim is known elsewhere
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
	 * Returns the agents that have accepted the fence of the current claim.
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
	 * Returns whether another entry has promised to refuse the claim of this job in
	 * favour of a higher one.
	 * @return {@code true} if the job cannot proceed under its claim
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
	 * Adds a caller. While the attempts that arrive here are numbered without a gap, none
	 * of them can have been made through another entry.
	 * @param request the request of the caller
	 */
	void addRequest(PendingRequest request) {
		this.pendingRequests.add(request);
		this.firstRequest = (this.firstRequest != null) ? this.firstRequest : request;
		if (request.attempt() == this.lastContiguousAttempt + 1) {
			this.lastContiguousAttempt++;
		}
	}

	/**
	 * Returns whether an attempt between the claim of this job and that of a caller may
	 * have been made through another entry.
	 * @param request the request of the caller
	 * @return {@code true} if the caller must not be told that nothing was run
	 */
	boolean mayHaveAttemptElsewhere(PendingRequest request) {
		return this.firstRequest != request
				&& (request.attempt() == 0 || request.attempt() > this.lastContiguousAttempt);
	}

	Set<String> subscribedLinks() {
		return this.subscribedLinks;
	}

	Map<Integer, Placement> placements() {
		return this.placements;
	}

	int waitingTasks() {
		return this.waitingIndexes.size();
	}

	/**
	 * Adds every task that is neither placed nor ended to the waiting tasks, in
	 * descending order of declared run time.
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
	 * Returns a task that was proved not to have been started to the front of the waiting
	 * tasks.
	 * @param placement its placement
	 */
	void returnToWaiting(Placement placement) {
		this.placements.remove(placement.index());
		if (this.state == JobState.RUNNING) {
			this.waitingIndexes.addFirst(placement.index());
		}
	}

	/**
	 * Records the outcome of a task.
	 * @param outcome the outcome
	 * @return {@code true} if the task had no result before
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
	 * Returns whether no task was ever placed or adopted, so that the queue bound of the
	 * class still applies.
	 * @return {@code true} if the job has only waited
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
		this.spec = this.spec.withoutPayloads();
		this.state = JobState.ENDED;
		this.waitingIndexes.clear();
		this.pendingReplies.clear();
		this.placements.clear();
	}

	/**
	 * Drops the results of an ended job to save memory. A resubmission then fences the
	 * agents, which retain the results as well.
	 */
	void dropResults() {
		this.answer = JobAnswer.failed(this.id, ResultCode.OUTCOME_UNKNOWN,
				"the results are no longer held by this entry");
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
