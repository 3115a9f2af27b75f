package org.baobabspar.entry;

import java.util.List;
import java.util.Optional;

import org.baobabspar.document.DocumentVersion;
import org.baobabspar.document.TaskClass;
import org.baobabspar.message.FenceReply;
import org.baobabspar.message.JobAsk;
import org.baobabspar.message.JobAskReply;
import org.baobabspar.message.JobCancel;
import org.baobabspar.message.JobEnded;
import org.baobabspar.model.Claim;
import org.baobabspar.model.CodeFamily;
import org.baobabspar.model.JobAnswer;
import org.baobabspar.model.JobSpec;
import org.baobabspar.model.ResultCode;
import org.baobabspar.model.TaskOutcome;

/**
 * Decides which submission may start the tasks of a job.
 * <p>
 * A declared first attempt of an idempotent class is admitted at once. Every other
 * submission first queries all entries: an entry that holds the job keeps it and sends
 * its answer here; an entry that does not hold it promises to refuse lower claims from
 * then on. This suffices as long as every entry that may have held the job replies. If
 * one has terminated or does not reply, every agent is fenced and the tasks that agents
 * have already started are adopted. If one of those agents does not reply either, the
 * outcome is in doubt and nothing is started.
 * <p>
 * Querying entries first keeps a resubmission cheap: with 40 entries and 1500 agents it
 * takes 80 messages rather than 3000, and agents are fenced only after an entry was lost.
 * <p>
 * Invariant: a task is dispatched only under a claim to which all lower claims have
 * yielded, or under a declared first attempt. Not thread-safe; used on the control thread
 * only.
 */
final class ClaimController {

	private final Blackboard blackboard;

	private final AdmissionController admission;

	private final JobController jobs;

	private final PlacementController placement;

	private final MembershipController membership;

	private final PeerController peers;

	private long budgetSecond;

	private int resubmissionsInSecond;

	ClaimController(Blackboard blackboard, AdmissionController admission, JobController jobs,
			PlacementController placement, MembershipController membership, PeerController peers) {
		this.blackboard = blackboard;
		this.admission = admission;
		this.jobs = jobs;
		this.placement = placement;
		this.membership = membership;
		this.peers = peers;
	}

	/**
	 * Handles a submission.
	 * @param requestId the caller's request
	 * @param spec the submission
	 */
	void submit(long requestId, JobSpec spec) {
		JobRecord known = this.blackboard.jobs().get(spec.id());
		if (known != null && !known.replaceable()) {
			joinExisting(requestId, spec, known);
			return;
		}
		ClaimPromise promise = this.blackboard.claimPromises().get(spec.id());
		boolean first = spec.isFirstAttempt() && known == null && promise == null;
		Optional<JobAnswer> refusal = findRefusal(spec, first, promise);
		if (refusal.isPresent()) {
			this.blackboard.outbox().answer(requestId, refusal.get());
			return;
		}
		openJob(requestId, spec, known, promise, first);
	}

	private void joinExisting(long requestId, JobSpec spec, JobRecord known) {
		if (known.bodyHash() != spec.bodyHash()) {
			this.blackboard.outbox()
				.answer(requestId,
						JobAnswer.failed(spec.id(), ResultCode.KEY_REUSED, describeDifference(spec, known.spec())));
		}
		else if (known.state() == JobState.ENDED) {
			this.blackboard.outbox().answer(requestId, known.answer());
		}
		else {
			known.addRequest(new PendingRequest(requestId, spec.attempt()));
		}
	}

	private static String describeDifference(JobSpec submitted, JobSpec earlier) {
		if (!submitted.taskClass().equals(earlier.taskClass())) {
			return "class: '" + submitted.taskClass() + "', but the idempotency key was first used with '"
					+ earlier.taskClass() + "'";
		}
		if (submitted.tasks().size() != earlier.tasks().size()) {
			return "tasks: " + submitted.tasks().size() + ", but the idempotency key was first used with "
					+ earlier.tasks().size();
		}
		return "payload: differs from the one that the idempotency key was first used with";
	}

	private Optional<JobAnswer> findRefusal(JobSpec spec, boolean first, ClaimPromise promise) {
		Optional<JobAnswer> refusal = Optional.empty();
		if (this.blackboard.quarantined() || !this.peers.isSynchronized()) {
			return Optional.of(askLater(spec, "the entry has just started or was paused"));
		}
		if (this.blackboard.draining()) {
			refusal = Optional.of(JobAnswer.failed(spec.id(), ResultCode.ENTRY_DRAINING, "the entry is shutting down"));
		}
		else if (this.blackboard.jobs().size() >= this.blackboard.settings().maxJobs()) {
			refusal = Optional.of(JobAnswer.failed(spec.id(), ResultCode.ENTRY_FULL, ResultCode.ENTRY_FULL.message()));
		}
		else if (promise != null && spec.attempt() > 0 && spec.attempt() < promise.claim().attempt()) {
			return Optional.of(JobAnswer.failed(spec.id(), ResultCode.SUPERSEDED, ResultCode.SUPERSEDED.message()));
		}
		if (refusal.isEmpty()) {
			refusal = this.admission.checkSpec(spec);
		}
		if (refusal.isEmpty() && !first && !withinResubmissionBudget()) {
			return Optional.of(askLater(spec, "the entry receives too many resubmissions"));
		}
		return first ? refusal : refusal.map((a) -> askLater(spec, a.detail()));
	}

	private JobAnswer askLater(JobSpec spec, String reason) {
		return new JobAnswer(spec.id(), ResultCode.ASK_LATER.number(), ResultCode.ASK_LATER.message() + ": " + reason,
				List.of(),
				this.blackboard.settings().peerReplyTimeoutMillis() + this.blackboard.random().nextLong(1_000));
	}

	private boolean withinResubmissionBudget() {
		long second = this.blackboard.now() / 1000;
		if (second != this.budgetSecond) {
			this.budgetSecond = second;
			this.resubmissionsInSecond = 0;
		}
		return this.resubmissionsInSecond++ < this.blackboard.settings().maxResubmissionsPerSecond();
	}

	private void openJob(long requestId, JobSpec spec, JobRecord known, ClaimPromise promise, boolean first) {
		JobRecord job = new JobRecord(spec, newClaim(spec, known, promise), this.blackboard.now());
		job.addRequest(new PendingRequest(requestId, spec.attempt()));
		job.setFirstAttempt(firstAttemptMillis(spec, known), first);
		if (known != null && known.answer().resultCode().family() == CodeFamily.UNKNOWN) {
			job.requireFence();
		}
		DocumentVersion version = this.blackboard.document(spec.stage()).orElseThrow();
		TaskClass taskClass = version.document().taskClass(spec.taskClass()).orElseThrow();
		job.applyDocument(taskClass, version.version());
		this.blackboard.jobs().put(job.id(), job);
		this.blackboard.liveJobs().put(job.id(), job);
		if (first && taskClass.idempotent()) {
			admit(job);
		}
		else {
			queryPeers(job);
		}
	}

	private Claim newClaim(JobSpec spec, JobRecord known, ClaimPromise promise) {
		Claim own = new Claim(spec.attempt(), this.blackboard.random().nextLong(Long.MAX_VALUE >> 1), 0);
		Claim claim = (known != null) ? claimAbove(own, known.claim()) : own;
		return (promise != null) ? claimAbove(claim, promise.claim()) : claim;
	}

	private Claim claimAbove(Claim own, Claim lower) {
		if (own.compareTo(lower) > 0) {
			return own;
		}
		long rank = lower.rank() + 1 + this.blackboard.random().nextLong(Long.MAX_VALUE - lower.rank() - 1);
		return new Claim(lower.attempt(), rank, 0);
	}

	private void retryQuery(JobRecord job) {
		ClaimPromise promise = this.blackboard.claimPromises().get(job.id());
		job.replaceClaim((promise != null) ? claimAbove(job.claim().next(), promise.claim()) : job.claim().next());
		queryPeers(job);
	}

	private long firstAttemptMillis(JobSpec spec, JobRecord known) {
		EntrySettings settings = this.blackboard.settings();
		long age = (spec.ageMillis() < 0) ? settings.windowMillis() : spec.ageMillis() + settings.ageMarginMillis();
		long first = this.blackboard.now() - age;
		return (known != null) ? Math.min(first, known.firstAttemptMillis()) : first;
	}

	private void queryPeers(JobRecord job) {
		job.transitionTo(JobState.QUERYING_PEERS, this.blackboard.now());
		job.recordClaimMade(this.blackboard.now());
		job.setPeersQueried(true);
		job.setHolder("");
		job.setSuperseded(false);
		job.pendingReplies().clear();
		for (PeerRecord peer : this.blackboard.peers().values()) {
			if (this.peers.isResponsive(peer)) {
				job.pendingReplies().add(peer.address());
				this.blackboard.send(peer.address(),
						new JobAsk(this.blackboard.nextId(), job.id(), job.claim(), job.bodyHash()));
			}
			else if (!peer.terminated() && peer.info() != null) {
				job.requireFence();
			}
		}
		proceedAfterReplies(job);
	}

	/**
	 * Handles the reply to a job query.
	 * @param address the address of the peer
	 * @param reply the reply
	 */
	void handleQueryReply(String address, JobAskReply reply) {
		JobRecord job = this.blackboard.jobs().get(reply.jobId());
		if (job == null || job.state() != JobState.QUERYING_PEERS || !job.pendingReplies().remove(address)) {
			return;
		}
		switch (reply.standing()) {
			case HELD -> job.setHolder(address);
			case BODY_DIFFERS -> this.jobs.fail(job, ResultCode.KEY_REUSED,
					"another request body was submitted under this idempotency key");
			case SUPERSEDED -> job.setSuperseded(true);
			case IN_DOUBT -> job.requireFence();
			case YIELDED -> job.subscribedLinks().add(address);
			case YIELDED_IN_DOUBT -> {
				job.subscribedLinks().add(address);
				job.requireFence();
			}
			default -> {
			}
		}
		proceedAfterReplies(job);
	}

	private void proceedAfterReplies(JobRecord job) {
		if (job.state() == JobState.QUERYING_PEERS && job.pendingReplies().isEmpty()) {
			if (!job.holder().isEmpty()) {
				job.attach(job.holder(), this.blackboard.now());
			}
			else if (job.superseded()) {
				this.jobs.failSuperseded(job);
			}
			else if (job.fenceRequired() || agentsMustBeFenced(job)) {
				fenceAgents(job);
			}
			else {
				admit(job);
			}
		}
	}

	private boolean agentsMustBeFenced(JobRecord job) {
		if (job.presumedFirst()) {
			return this.peers.hasLossSince(this.blackboard.now() - this.blackboard.settings().windowMillis());
		}
		return this.blackboard.lossesKnownSinceMillis() > job.firstAttemptMillis()
				|| this.peers.hasLossSince(job.firstAttemptMillis());
	}

	private void fenceAgents(JobRecord job) {
		job.transitionTo(JobState.FENCING_AGENTS, this.blackboard.now());
		job.pendingReplies().clear();
		job.fencedAgents().clear();
		job.setPeersQueried(true);
		for (AgentRecord agent : List.copyOf(this.blackboard.agents().values())) {
			if (this.jobs.sendFence(job, agent.ref(), PendingFence.Purpose.CLAIM)) {
				job.pendingReplies().add(agent.ref());
			}
		}
		if (job.pendingReplies().isEmpty()) {
			proceedAfterFence(job);
		}
	}

	/**
	 * Handles the reply of an agent to a fence that was sent to establish a claim.
	 * @param fence the fence
	 * @param reply the reply
	 */
	void handleFenceReply(PendingFence fence, FenceReply reply) {
		JobRecord job = fence.job();
		if (job.state() != JobState.FENCING_AGENTS) {
			return;
		}
		if (!reply.accepted()) {
			if (reply.bodyDiffers()) {
				this.jobs.fail(job, ResultCode.KEY_REUSED,
						"another request body was submitted under this idempotency key");
			}
			else {
				this.jobs.failSuperseded(job);
			}
			return;
		}
		job.pendingReplies().remove(fence.agentRef());
		job.fencedAgents().add(fence.agentRef());
		adoptStartedTasks(job, fence.agentRef(), reply.started());
		if (job.state() == JobState.FENCING_AGENTS && job.pendingReplies().isEmpty()) {
			proceedAfterFence(job);
		}
	}

	private void adoptStartedTasks(JobRecord job, String agentRef, List<TaskOutcome> started) {
		AgentRecord agent = this.blackboard.agents().get(agentRef);
		for (TaskOutcome outcome : started) {
			if (outcome.isDone()) {
				this.jobs.recordOutcome(job, outcome);
			}
			else if (agent != null && outcome.index() < job.spec().tasks().size()) {
				this.placement.adopt(agent, job, outcome.index());
			}
		}
	}

	private void proceedAfterFence(JobRecord job) {
		if (job.allTasksPlacedOrEnded()) {
			job.transitionTo(JobState.RUNNING, this.blackboard.now());
			return;
		}
		job.pendingReplies().clear();
		if (!job.presumedFirst() && outcomeInDoubt(job)) {
			boolean windowPassed = this.blackboard.now() - job.firstAttemptMillis() > this.blackboard.settings()
				.windowMillis();
			ResultCode code = (windowPassed && job.spec().ageMillis() >= 0) ? ResultCode.WINDOW_PASSED
					: ResultCode.OUTCOME_UNKNOWN;
			this.jobs.fail(job, code, code.message());
			return;
		}
		admit(job);
	}

	private boolean outcomeInDoubt(JobRecord job) {
		boolean ledgersExpired = this.blackboard.now() - job.firstAttemptMillis() > this.blackboard.settings()
			.windowMillis();
		return ledgersExpired || this.blackboard.lossesKnownSinceMillis() > job.firstAttemptMillis()
				|| this.membership.unansweredAgentUsableSince(job.firstAttemptMillis(), job.fencedAgents());
	}

	private void admit(JobRecord job) {
		if (job.neverPlaced()) {
			Optional<JobAnswer> refusal = this.admission.checkLoad(job);
			if (refusal.isPresent()) {
				this.jobs.end(job, refusal.get());
				return;
			}
		}
		job.transitionTo(JobState.RUNNING, this.blackboard.now());
		this.placement.enqueue(job);
	}

	/**
	 * Handles the answer of a job that another entry holds.
	 * @param message the message with the answer
	 */
	void handleJobEnded(JobEnded message) {
		JobRecord job = this.blackboard.jobs().get(message.answer().jobId());
		if (job == null || job.state() != JobState.ATTACHED && job.state() != JobState.QUERYING_PEERS) {
			return;
		}
		boolean runToEnd = message.answer().resultCode().family() == CodeFamily.COMPLETE
				|| message.answer().resultCode().family() == CodeFamily.FAILED;
		if (runToEnd || (job.state() == JobState.ATTACHED && !job.fenceRequired())) {
			this.jobs.end(job, message.answer());
		}
		else if (job.state() == JobState.ATTACHED) {
			this.jobs.end(job,
					askLater(job.spec(), "not run by the entry that held the job, but not every entry has replied"));
		}
		else {
			job.setHolder("");
			job.requireFence();
		}
	}

	/**
	 * Handles the cancellation request of a caller. A cancellation of an unknown job is
	 * forwarded to the other entries.
	 * @param requestId the caller's request
	 * @param jobId the job
	 */
	void cancel(long requestId, String jobId) {
		JobRecord job = this.blackboard.jobs().get(jobId);
		if (job == null) {
			this.blackboard.peers()
				.values()
				.stream()
				.filter(this.peers::isResponsive)
				.forEach((p) -> this.blackboard.send(p.address(), new JobCancel(jobId)));
			this.blackboard.outbox()
				.answer(requestId, JobAnswer.failed(jobId, ResultCode.JOB_UNKNOWN,
						"the cancellation was forwarded to the other entries"));
			return;
		}
		if (job.state() == JobState.ENDED) {
			this.blackboard.outbox().answer(requestId, job.answer());
			return;
		}
		job.addRequest(new PendingRequest(requestId, 0));
		if (job.state() == JobState.ATTACHED) {
			this.blackboard.send(job.holder(), new JobCancel(jobId));
		}
		else {
			cancelHeldJob(jobId);
		}
	}

	/**
	 * Cancels a job that is held here, for a caller of this entry or of another one.
	 * @param jobId the job
	 */
	void cancelHeldJob(String jobId) {
		JobRecord job = this.blackboard.jobs().get(jobId);
		if (job == null || !job.state().cancellable()) {
			return;
		}
		if (job.state() == JobState.RUNNING) {
			this.jobs.recall(job, ResultCode.CANCELLED, ResultCode.CANCELLED_STARTED);
		}
		else if (job.presumedFirst() && !job.anyTaskStarted()) {
			this.jobs.fail(job, ResultCode.CANCELLED, ResultCode.CANCELLED.message());
		}
		else {
			this.jobs.fail(job, ResultCode.OUTCOME_UNKNOWN, "cancelled while earlier attempts were being queried");
		}
	}

	/** Proceeds without the entries and agents that have not replied in time. */
	void tick() {
		long now = this.blackboard.now();
		EntrySettings settings = this.blackboard.settings();
		for (JobRecord job : this.blackboard.liveJobsSnapshot()) {
			if (job.state() == JobState.QUERYING_PEERS
					&& now - job.stateSinceMillis() > settings.peerReplyTimeoutMillis()) {
				job.requireFence();
				job.pendingReplies().clear();
				proceedAfterReplies(job);
			}
			else if (job.state() == JobState.FENCING_AGENTS
					&& now - job.stateSinceMillis() > settings.fenceTimeoutMillis()) {
				proceedAfterFence(job);
			}
			else if (job.state() == JobState.ATTACHED && !holderResponsive(job)) {
				retryQuery(job);
			}
		}
	}

	private boolean holderResponsive(JobRecord job) {
		PeerRecord peer = this.blackboard.peers().get(job.holder());
		return peer != null && this.peers.isResponsive(peer);
	}

}
