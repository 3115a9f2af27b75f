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
 * Carries jobs from their first placement to their answer. An answer is whole or failed,
 * and the code of a failed one never says more than is proved: before a job with placed
 * tasks is ended, the agents are asked to give back what they have not started, and only
 * if every one of them has given back everything is the job answered as not run.
 * <p>
 * Example: the deadline passes with tasks 0 and 1 at agent X. The fence comes back with
 * task 0 running, so the answer is {@link ResultCode#DEADLINE_STARTED}; had it come back
 * empty, the answer would be {@link ResultCode#DEADLINE_NOT_RUN}.
 * <p>
 * Invariant: a job is answered once, and each of its callers gets that answer. Used on
 * the control thread only.
 */
final class JobController {

	private static final long MAX_RETAINED_ANSWER_BYTES = 16L << 20;

	private final EntryContext context;

	private final Deque<JobRecord> retainedAnswers = new ArrayDeque<>();

	private long retainedAnswerBytes;

	private final PlacementController placement;

	private final PeerController peers;

	JobController(EntryContext context, PlacementController placement, PeerController peers) {
		this.context = context;
		this.placement = placement;
		this.peers = peers;
	}

	/**
	 * End a job and answer its callers.
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
		job.end(outgoing, this.context.now());
		retainAnswer(job);
		this.context.liveJobs().remove(job.id());
		for (PendingRequest request : job.pendingRequests()) {
			this.context.outbox().answer(request.requestId(), answerForRequest(job, request, outgoing));
		}
		for (String link : job.subscribedPeers()) {
			this.context.send(link, new JobEnded(outgoing));
		}
		this.context.outbox().jobEnded(job.summary(this.context.now()));
		if (outgoing.resultCode() != ResultCode.SUPERSEDED) {
			agentRefs.forEach((ref) -> sendFence(job, ref, PendingFence.Purpose.RECALL));
		}
		if (outgoing.resultCode().family() == CodeFamily.NOT_RUN) {
			discard(job);
		}
	}

	// A flood of refusals costs no memory; the claim stays if others were told of it.
	private void discard(JobRecord job) {
		this.context.jobs().remove(job.id(), job);
		if (job.peersQueried()) {
			recordPromise(job.id(), job.claim());
		}
	}

	// A job that has waited may have been resubmitted through an entry that could not
	// reach
	// this one. That nothing was run is said only if all entries were in touch.
	private JobAnswer requireProofOfNotRun(JobRecord job, JobAnswer answer) {
		if (answer.resultCode().family() != CodeFamily.NOT_RUN) {
			return answer;
		}
		boolean justArrived = this.context.now() == job.arrivedMillis();
		if (!job.unseenAttemptsPossible() && (justArrived || this.peers.allPeersResponsiveSince(job.arrivedMillis()))) {
			return answer;
		}
		return JobAnswer.failed(job.id(), ResultCode.ASK_LATER, "not run here; not every entry can be asked");
	}

	private static JobAnswer answerForRequest(JobRecord job, PendingRequest request, JobAnswer answer) {
		if (answer.resultCode().family() != CodeFamily.NOT_RUN || !job.mayHaveAttemptElsewhere(request)) {
			return answer;
		}
		return JobAnswer.failed(job.id(), ResultCode.ASK_LATER, "not run here; another attempt may be elsewhere");
	}

	/**
	 * Promise to give way to a claim.
	 * @param jobId the job
	 * @param claim the claim
	 */
	void recordPromise(String jobId, Claim claim) {
		ClaimPromise previous = this.context.claimPromises().remove(jobId);
		Claim highest = (previous != null && previous.claim().compareTo(claim) > 0) ? previous.claim() : claim;
		this.context.claimPromises().put(jobId, new ClaimPromise(highest, this.context.now()));
	}

	void fail(JobRecord job, ResultCode code, String detail) {
		end(job, JobAnswer.failed(job.id(), code, detail));
	}

	/**
	 * Send a fence under a raised claim.
	 * @param job the job
	 * @param agentRef the agent
	 * @param purpose why
	 * @return {@code true} if the agent is linked
	 */
	boolean sendFence(JobRecord job, String agentRef, PendingFence.Purpose purpose) {
		AgentRecord agent = this.context.agents().get(agentRef);
		if (agent == null || !agent.linked()) {
			return false;
		}
		long watermark = this.context.lastId();
		long fenceId = this.context.nextId();
		Claim claim = (purpose != PendingFence.Purpose.CLAIM) ? job.advanceClaim() : job.claim();
		this.context.pendingFences()
			.put(fenceId, new PendingFence(job, agentRef, purpose, watermark, this.context.now()));
		agent.recordSend(this.context.now());
		this.context.send(agent.link(), new Fence(fenceId, job.id(), claim, job.bodyHash()));
		return true;
	}

	private Set<String> agentsWithPlacements(JobRecord job) {
		Set<String> agentRefs = new LinkedHashSet<>();
		job.placements().values().forEach((p) -> agentRefs.add(p.agentRef()));
		return agentRefs;
	}

	/**
	 * End a job once it is known what of it was started.
	 * @param job the job
	 * @param notRun the code if nothing was
	 * @param started the code if something was
	 */
	void recall(JobRecord job, ResultCode notRun, ResultCode started) {
		if (job.state() == JobState.ENDED || job.state() == JobState.RECALLING) {
			return;
		}
		this.placement.dequeue(job);
		job.setRecallCodes(notRun, started);
		job.transitionTo(JobState.RECALLING, this.context.now());
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
	 * Take the end of a task.
	 * @param agent the agent
	 * @param message the message
	 */
	void handleTaskEnded(AgentRecord agent, TaskEnded message) {
		this.placement.recordTaskEnd(agent, message.jobId(), message.outcome());
		JobRecord job = this.context.jobs().get(message.jobId());
		if (job != null && job.state().holdsTasks()) {
			recordOutcome(job, message.outcome());
		}
	}

	/**
	 * Record an ended task and end the job if it is whole or failed.
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
	 * Take a refusal of the gate. The dispatch is proved not to be started.
	 * @param agent the agent
	 * @param refusal the message
	 */
	void handleTaskRefused(AgentRecord agent, TaskRefused refusal) {
		Placement placement = this.placement.findPlacement(agent, refusal.jobId(), refusal.index())
			.filter((x) -> x.dispatchId() == refusal.dispatchId() || neverReachedEndpoint(x, refusal))
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
	 * Take the answer to a fence that was sent for recovery or recall.
	 * @param fence the fence
	 * @param reply the answer
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
		AgentRecord agent = this.context.agents().get(fence.agentRef());
		for (TaskOutcome outcome : reply.started()) {
			if (outcome.done() && agent != null) {
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
		AgentRecord agent = this.context.agents().get(fence.agentRef());
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
	 * Ask what became of the dispatches whose link was cut.
	 * @param agent the agent, linked again
	 */
	void reconcilePlacements(AgentRecord agent) {
		Set<JobRecord> jobs = new LinkedHashSet<>();
		agent.placements().values().forEach((p) -> jobs.add(p.job()));
		for (JobRecord job : jobs) {
			sendFence(job, agent.ref(),
					(job.state() == JobState.ENDED) ? PendingFence.Purpose.RECALL : PendingFence.Purpose.RECOVER);
		}
	}

	/**
	 * Give up the tasks of an agent that stays away.
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

	/** End what is past its time. */
	void tick() {
		long now = this.context.now();
		EntrySettings settings = this.context.settings();
		for (JobRecord job : this.context.liveJobsSnapshot()) {
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
				fail(job, ResultCode.OUTCOME_UNKNOWN, "the deadline passed while earlier attempts were looked for");
			}
		}
		for (AgentRecord agent : this.context.agents().values()) {
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

	// The oldest answers are dropped first; their jobs stay, so that nothing is run
	// again.
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
		this.context.jobs()
			.values()
			.removeIf((j) -> j.state() == JobState.ENDED && now - j.endedMillis() > settings.windowMillis());
		this.context.claimPromises().values().removeIf((f) -> now - f.promisedMillis() > settings.windowMillis());
		this.context.pendingFences().values().removeIf((f) -> now - f.sentMillis() > settings.windowMillis());
	}

}
