package org.baobabspar.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.baobabspar.message.Fence;
import org.baobabspar.message.FenceReply;
import org.baobabspar.message.JobEnded;
import org.baobabspar.message.TaskEnded;
import org.baobabspar.message.TaskRefused;
import org.baobabspar.model.Claim;
import org.baobabspar.model.CodeFamily;
import org.baobabspar.model.JobAnswer;
import org.baobabspar.model.ResultCode;
import org.baobabspar.model.TaskOutcome;

/**
 * Manages jobs from their first placement to their answer. An answer either contains all
 * results or is a failure, and the result code of a failure claims no more than has been
 * proved: before a job with placed tasks is ended, its agents are asked to return the
 * tasks that they have not started, and the job is answered as not run only if every
 * agent has returned all of them.
 * <p>
 * Example: the deadline passes while tasks 0 and 1 are placed on agent X. If the fence
 * reply reports task 0 as running, the answer is {@link ResultCode#DEADLINE_STARTED}; if
 * it reports no started task, the answer is {@link ResultCode#DEADLINE_NOT_RUN}.
 * <p>
 * Invariant: a job is answered once, and each of its callers receives that answer. Not
 * thread-safe; used on the control thread only.
 */
final class JobController {

	private static final long MAX_RETAINED_ANSWER_BYTES = 16L << 20;

	private final Blackboard blackboard;

	private final Deque<JobRecord> retainedAnswers = new ArrayDeque<>();

	private long retainedAnswerBytes;

	private final PlacementController placement;

	private final PeerController peers;

	JobController(Blackboard blackboard, PlacementController placement, PeerController peers) {
		this.blackboard = blackboard;
		this.placement = placement;
		this.peers = peers;
	}

	/**
	 * Ends a job and answers its callers. Does nothing if the job has already ended.
	 * @param job the job
	 * @param answer the answer
	 */
	void end(JobRecord job, JobAnswer answer) {
		if (job.state() == JobState.ENDED) {
			return;
		}
		JobAnswer outgoing = requireProofOfNotRun(job, answer);
		Set<String> agentRefs = agentsWithPlacements(job);
		this.placement.dequeue(job);
		job.end(outgoing, this.blackboard.now());
		retainAnswer(job);
		this.blackboard.liveJobs().remove(job.id());
		for (PendingRequest request : job.pendingRequests()) {
			this.blackboard.outbox().answer(request.requestId(), answerForRequest(job, request, outgoing));
		}
		for (String link : job.subscribedLinks()) {
			this.blackboard.send(link, new JobEnded(outgoing));
		}
		this.blackboard.outbox().jobEnded(job.summary(this.blackboard.now()));
		if (outgoing.resultCode() != ResultCode.SUPERSEDED) {
			agentRefs.forEach((ref) -> sendFence(job, ref, PendingFence.Purpose.RECALL));
		}
		if (outgoing.resultCode().family() == CodeFamily.NOT_RUN) {
			discard(job);
		}
	}

	// Jobs that were not run are not retained, so that a flood of refusals uses no
	// memory. The claim is kept if other entries were told of it.
	private void discard(JobRecord job) {
		this.blackboard.jobs().remove(job.id(), job);
		if (job.peersQueried()) {
			recordPromise(job.id(), job.claim());
		}
	}

	// While a job waits, it may be resubmitted through an entry that could not reach this
	// one. The job is therefore answered as not run only if all entries have been
	// responsive since it arrived.
	private JobAnswer requireProofOfNotRun(JobRecord job, JobAnswer answer) {
		if (answer.resultCode().family() != CodeFamily.NOT_RUN) {
			return answer;
		}
		boolean justArrived = this.blackboard.now() == job.arrivedMillis();
		if (!job.unseenAttemptsPossible() && (justArrived || this.peers.allPeersResponsiveSince(job.arrivedMillis()))) {
			return answer;
		}
		return JobAnswer.failed(job.id(), ResultCode.ASK_LATER,
				"not run by this entry, but not every entry can be queried");
	}

	private static JobAnswer answerForRequest(JobRecord job, PendingRequest request, JobAnswer answer) {
		if (answer.resultCode().family() != CodeFamily.NOT_RUN || !job.mayHaveAttemptElsewhere(request)) {
			return answer;
		}
		return JobAnswer.failed(job.id(), ResultCode.ASK_LATER,
				"not run by this entry, but another entry may hold another attempt");
	}

	/**
	 * Promises to refuse lower claims on a job. Keeps an earlier promise to a higher
	 * claim.
	 * @param jobId the job
	 * @param claim the claim that lower claims must yield to
	 */
	void recordPromise(String jobId, Claim claim) {
		ClaimPromise previous = this.blackboard.claimPromises().remove(jobId);
		Claim highest = (previous != null && previous.claim().compareTo(claim) > 0) ? previous.claim() : claim;
		this.blackboard.claimPromises().put(jobId, new ClaimPromise(highest, this.blackboard.now()));
	}

	void fail(JobRecord job, ResultCode code, String detail) {
		end(job, JobAnswer.failed(job.id(), code, detail));
	}

	/**
	 * Sends a fence to an agent. Unless the fence is sent to establish a new claim, the
	 * claim of the job is advanced first, which invalidates its earlier dispatches.
	 * @param job the job
	 * @param agentRef the agent
	 * @param purpose why the fence is sent
	 * @return {@code true} if the agent is linked
	 */
	boolean sendFence(JobRecord job, String agentRef, PendingFence.Purpose purpose) {
		AgentRecord agent = this.blackboard.agents().get(agentRef);
		if (agent == null || !agent.linked()) {
			return false;
		}
		long watermark = this.blackboard.lastId();
		long fenceId = this.blackboard.nextId();
		Claim claim = (purpose != PendingFence.Purpose.CLAIM) ? job.advanceClaim() : job.claim();
		this.blackboard.pendingFences()
			.put(fenceId, new PendingFence(job, agentRef, purpose, watermark, this.blackboard.now()));
		agent.recordSend(this.blackboard.now());
		this.blackboard.send(agent.link(), new Fence(fenceId, job.id(), claim, job.bodyHash()));
		return true;
	}

	private Set<String> agentsWithPlacements(JobRecord job) {
		Set<String> agentRefs = new LinkedHashSet<>();
		job.placements().values().forEach((p) -> agentRefs.add(p.agentRef()));
		return agentRefs;
	}

	/**
	 * Recalls the tasks of a job from its agents and ends the job once it is known
	 * whether any of them was started.
	 * @param job the job
	 * @param notRun the result code if no task was started
	 * @param started the result code if a task was started
	 */
	void recall(JobRecord job, ResultCode notRun, ResultCode started) {
		if (job.state() == JobState.ENDED || job.state() == JobState.RECALLING) {
			return;
		}
		this.placement.dequeue(job);
		job.setRecallCodes(notRun, started);
		job.transitionTo(JobState.RECALLING, this.blackboard.now());
		job.pendingReplies().clear();
		for (String ref : agentsWithPlacements(job)) {
			sendFence(job, ref, PendingFence.Purpose.RECALL);
			job.pendingReplies().add(ref);
		}
		endIfRecallComplete(job);
	}

	private void endIfRecallComplete(JobRecord job) {
		if (job.state() == JobState.RECALLING && job.pendingReplies().isEmpty()) {
			fail(job, job.recallCode(), job.recallCode().message());
		}
	}

	/**
	 * Handles the end of a task.
	 * @param agent the agent
	 * @param message the report of the agent
	 */
	void handleTaskEnded(AgentRecord agent, TaskEnded message) {
		this.placement.recordTaskEnd(agent, message.jobId(), message.outcome());
		JobRecord job = this.blackboard.jobs().get(message.jobId());
		if (job != null && job.state().holdsTasks()) {
			recordOutcome(job, message.outcome());
		}
	}

	/**
	 * Records the outcome of a task and ends the job if the task failed or all tasks have
	 * ended.
	 * @param job the job
	 * @param outcome the outcome
	 */
	void recordOutcome(JobRecord job, TaskOutcome outcome) {
		if (outcome.index() < 0 || outcome.index() >= job.spec().tasks().size() || !job.recordOutcome(outcome)) {
			return;
		}
		if (!outcome.succeeded()) {
			ResultCode code = ResultCode.of(outcome.code()).orElse(ResultCode.TASK_FAILED);
			fail(job, code, "task " + outcome.index() + ": " + code.message());
		}
		else if (job.allTasksEnded()) {
			end(job, JobAnswer.complete(job.id(), job.results()));
		}
	}

	/**
	 * Handles the refusal of a dispatch by an agent, which proves that the dispatch was
	 * not started.
	 * @param agent the agent
	 * @param refusal the refusal
	 */
	void handleTaskRefused(AgentRecord agent, TaskRefused refusal) {
		Placement placement = this.placement.findPlacement(agent, refusal.jobId(), refusal.index())
			.filter((p) -> p.dispatchId() == refusal.dispatchId() || neverReachedEndpoint(p, refusal))
			.orElse(null);
		if (placement == null) {
			return;
		}
		JobRecord job = placement.job();
		boolean ownFence = !placement.claim().equals(job.claim());
		this.placement.requeue(placement);
		if (refusal.code() == ResultCode.GATE_FENCED.number() && !ownFence) {
			failSuperseded(job);
		}
		else if (refusal.code() == ResultCode.KEY_REUSED.number()) {
			recall(job, ResultCode.KEY_REUSED, ResultCode.TASK_FAILED);
		}
		else {
			endIfAllReturned(job, agent.ref());
		}
	}

	private static boolean neverReachedEndpoint(Placement placement, TaskRefused refusal) {
		return placement.adopted() && refusal.code() == ResultCode.GATE_ENDPOINT_DOWN.number();
	}

	void failSuperseded(JobRecord job) {
		fail(job, ResultCode.SUPERSEDED, ResultCode.SUPERSEDED.message());
	}

	private void endIfAllReturned(JobRecord job, String agentRef) {
		boolean tasksLeft = job.placements().values().stream().anyMatch((p) -> p.agentRef().equals(agentRef));
		if (!tasksLeft) {
			job.pendingReplies().remove(agentRef);
			endIfRecallComplete(job);
		}
	}

	/**
	 * Handles the reply to a fence that was sent to reconcile or to recall placements.
	 * @param fence the fence
	 * @param reply the reply
	 */
	void handleFenceReply(PendingFence fence, FenceReply reply) {
		JobRecord job = fence.job();
		if (!reply.accepted()) {
			failSuperseded(job);
			requeueNotStarted(fence, Set.of());
			return;
		}
		Set<Integer> started = new HashSet<>();
		for (TaskOutcome outcome : reply.started()) {
			started.add(outcome.index());
			job.markStarted();
		}
		requeueNotStarted(fence, started);
		AgentRecord agent = this.blackboard.agents().get(fence.agentRef());
		for (TaskOutcome outcome : reply.started()) {
			if (outcome.isDone() && agent != null) {
				this.placement.recordTaskEnd(agent, job.id(), outcome);
				if (job.state().holdsTasks()) {
					recordOutcome(job, outcome);
				}
			}
		}
		job.pendingReplies().remove(fence.agentRef());
		endIfRecallComplete(job);
	}

	private void requeueNotStarted(PendingFence fence, Set<Integer> started) {
		AgentRecord agent = this.blackboard.agents().get(fence.agentRef());
		if (agent == null) {
			return;
		}
		for (Placement placement : List.copyOf(agent.placements().values())) {
			boolean covered = placement.job() == fence.job() && placement.dispatchId() <= fence.watermark();
			if (covered && !started.contains(placement.index())) {
				this.placement.requeue(placement);
			}
		}
	}

	/**
	 * Sends fences for all jobs with placements on an agent, to find out which dispatches
	 * arrived before its link was lost.
	 * @param agent the agent, linked again
	 */
	void reconcilePlacements(AgentRecord agent) {
		Set<JobRecord> jobs = new LinkedHashSet<>();
		agent.placements().values().forEach((p) -> jobs.add(p.job()));
		for (JobRecord job : jobs) {
			sendFence(job, agent.ref(),
					(job.state() == JobState.ENDED) ? PendingFence.Purpose.RECALL : PendingFence.Purpose.RECONCILE);
		}
	}

	/**
	 * Abandons the tasks of an agent that has been silent for too long and fails their
	 * jobs.
	 * @param agent the agent
	 */
	void abandonPlacements(AgentRecord agent) {
		Set<JobRecord> jobs = new LinkedHashSet<>();
		for (Placement placement : List.copyOf(agent.placements().values())) {
			this.placement.removePlacement(placement);
			jobs.add(placement.job());
		}
		for (JobRecord job : jobs) {
			if (job.state().holdsTasks()) {
				fail(job, ResultCode.AGENT_LOST,
						"agent " + agent.info().agentId() + " was lost with tasks of this job");
			}
		}
	}

	/**
	 * Ends the jobs whose deadlines or time-outs have passed and drops expired records.
	 */
	void tick() {
		long now = this.blackboard.now();
		EntrySettings settings = this.blackboard.settings();
		for (JobRecord job : this.blackboard.liveJobsSnapshot()) {
			if (job.state() == JobState.RECALLING) {
				if (now - job.stateSinceMillis() > settings.fenceTimeoutMillis()) {
					ResultCode code = job.anyTaskStarted() ? job.recallCode() : ResultCode.AGENT_LOST;
					fail(job, code, code.message());
				}
			}
			else if (job.state() == JobState.RUNNING) {
				checkTimeouts(job, now);
			}
			else if (now > job.deadlineMillis()) {
				fail(job, ResultCode.OUTCOME_UNKNOWN, "the deadline passed while earlier attempts were being queried");
			}
		}
		for (AgentRecord agent : this.blackboard.agents().values()) {
			if (!agent.placements().isEmpty() && now - agent.lastHeardMillis() > settings.lostAfterMillis()) {
				abandonPlacements(agent);
			}
		}
		expire(now, settings);
	}

	private void checkTimeouts(JobRecord job, long now) {
		if (now > job.deadlineMillis()) {
			recall(job, ResultCode.DEADLINE_NOT_RUN, ResultCode.DEADLINE_STARTED);
		}
		else if (job.neverPlaced() && now - job.arrivedMillis() > job.taskClass().queueBoundMillis()) {
			recall(job, ResultCode.QUEUE_TIMEOUT, ResultCode.DEADLINE_STARTED);
		}
	}

	// When the retained answers exceed the memory bound, the oldest results are dropped
	// first. The records of their jobs stay, so that no task is run again.
	private void retainAnswer(JobRecord job) {
		if (job.resultBytes() > 0) {
			this.retainedAnswers.add(job);
			this.retainedAnswerBytes += job.resultBytes();
		}
		while (this.retainedAnswerBytes > MAX_RETAINED_ANSWER_BYTES) {
			JobRecord oldest = this.retainedAnswers.poll();
			this.retainedAnswerBytes -= oldest.resultBytes();
			oldest.dropResults();
		}
	}

	private void expire(long now, EntrySettings settings) {
		while (!this.retainedAnswers.isEmpty()
				&& now - this.retainedAnswers.peek().endedMillis() > settings.windowMillis()) {
			this.retainedAnswerBytes -= this.retainedAnswers.poll().resultBytes();
		}
		this.blackboard.jobs()
			.values()
			.removeIf((j) -> j.state() == JobState.ENDED && now - j.endedMillis() > settings.windowMillis());
		this.blackboard.claimPromises().values().removeIf((p) -> now - p.promisedMillis() > settings.windowMillis());
		this.blackboard.pendingFences().values().removeIf((f) -> now - f.sentMillis() > settings.windowMillis());
	}

}
