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
 * A declared first attempt of an idempotent class goes straight out. Every other
 * submission first asks all entries: one that holds the job keeps it and sends its answer
 * here; one that does not promises to refuse lower claims from then on. As long as every
 * entry that may have had the job answers, that is enough. If one has ended or does not
 * answer, every agent is fenced, and what agents have started is adopted. If one of those
 * is silent too, the job is in doubt and nothing is started.
 * <p>
 * Asking entries first keeps a resubmission cheap: with 40 entries and 1500 agents it
 * costs 80 messages rather than 3000, and the agents are asked only after an entry was
 * lost.
 * <p>
 * Invariant: a task is dispatched only under a claim to which all lower claims have given
 * way, or which was declared first. Used on the control thread only.
 */
final class ClaimController {

	private final Blackboard board;

	private final AdmissionController admission;

	private final JobController jobs;

	private final PlacementController placement;

	private final MembershipController membership;

	private final PeerController peers;

	private long budgetSecond;

	private int asksInSecond;

	ClaimController(Blackboard board, AdmissionController admission, JobController jobs, PlacementController placement,
			MembershipController membership, PeerController peers) {
		this.board = board;
		this.admission = admission;
		this.jobs = jobs;
		this.placement = placement;
		this.membership = membership;
		this.peers = peers;
	}

	/**
	 * Take a submission.
	 * @param requestId the caller's request
	 * @param spec the submission
	 */
	void submit(long requestId, JobSpec spec) {
		JobRecord known = this.board.jobs().get(spec.id());
		if (known != null && !known.replaceable()) {
			join(requestId, spec, known);
			return;
		}
		FencedKey fenced = this.board.fencedKeys().get(spec.id());
		boolean first = spec.isFirstAttempt() && known == null && fenced == null;
		Optional<JobAnswer> refusal = refusal(spec, first, fenced);
		if (refusal.isPresent()) {
			this.board.out().answer(requestId, refusal.get());
			return;
		}
		open(requestId, spec, known, fenced, first);
	}

	private void join(long requestId, JobSpec spec, JobRecord known) {
		if (known.bodyHash() != spec.bodyHash()) {
			this.board.out()
				.answer(requestId, JobAnswer.failed(spec.id(), ResultCode.KEY_REUSED, difference(spec, known.spec())));
		}
		else if (known.state() == JobState.ENDED) {
			this.board.out().answer(requestId, known.answer());
		}
		else {
			known.addWaiter(new Waiter(requestId, spec.attempt()));
		}
	}

	private static String difference(JobSpec a, JobSpec b) {
		if (!a.taskClass().equals(b.taskClass())) {
			return "class: '" + a.taskClass() + "', the key was used for '" + b.taskClass() + "'";
		}
		if (a.tasks().size() != b.tasks().size()) {
			return "tasks: " + a.tasks().size() + ", the key was used for " + b.tasks().size();
		}
		return "payload: differs from the one that the key was used for";
	}

	private Optional<JobAnswer> refusal(JobSpec spec, boolean first, FencedKey fenced) {
		Optional<JobAnswer> r = Optional.empty();
		if (this.board.quarantined() || !this.peers.synchronised()) {
			return Optional.of(askLater(spec, "the entry has just started or was paused"));
		}
		if (this.board.draining()) {
			r = Optional.of(JobAnswer.failed(spec.id(), ResultCode.ENTRY_DRAINING, "the entry is shutting down"));
		}
		else if (this.board.jobs().size() >= this.board.settings().maxJobs()) {
			r = Optional.of(JobAnswer.failed(spec.id(), ResultCode.ENTRY_FULL, ResultCode.ENTRY_FULL.message()));
		}
		else if (fenced != null && spec.attempt() > 0 && spec.attempt() < fenced.claim().attempt()) {
			return Optional.of(JobAnswer.failed(spec.id(), ResultCode.SUPERSEDED, ResultCode.SUPERSEDED.message()));
		}
		if (r.isEmpty()) {
			r = this.admission.checkSpec(spec);
		}
		if (r.isEmpty() && !first && !withinAskBudget()) {
			return Optional.of(askLater(spec, "too many resubmissions at once"));
		}
		return first ? r : r.map((a) -> askLater(spec, a.detail()));
	}

	private JobAnswer askLater(JobSpec spec, String why) {
		return new JobAnswer(spec.id(), ResultCode.ASK_LATER.number(), ResultCode.ASK_LATER.message() + ": " + why,
				List.of(), this.board.settings().peerReplyTimeoutMillis() + this.board.random().nextLong(1_000));
	}

	private boolean withinAskBudget() {
		long second = this.board.now() / 1000;
		if (second != this.budgetSecond) {
			this.budgetSecond = second;
			this.asksInSecond = 0;
		}
		return this.asksInSecond++ < this.board.settings().maxResubmissionsPerSecond();
	}

	private void open(long requestId, JobSpec spec, JobRecord known, FencedKey fenced, boolean first) {
		JobRecord j = new JobRecord(spec, claim(spec, known, fenced), this.board.now());
		j.addWaiter(new Waiter(requestId, spec.attempt()));
		j.origin(firstAttempt(spec, known), first);
		if (known != null && known.answer().resultCode().family() == CodeFamily.UNKNOWN) {
			j.needFence();
		}
		DocumentVersion v = this.board.document(spec.stage()).orElseThrow();
		TaskClass c = v.document().taskClass(spec.taskClass()).orElseThrow();
		j.judgedBy(c, v.version());
		this.board.jobs().put(j.id(), j);
		this.board.liveJobs().put(j.id(), j);
		if (first && c.idempotent()) {
			admit(j);
		}
		else {
			ask(j);
		}
	}

	private Claim claim(JobSpec spec, JobRecord known, FencedKey fenced) {
		Claim own = new Claim(spec.attempt(), this.board.random().nextLong(Long.MAX_VALUE >> 1), 0);
		Claim c = (known != null) ? above(own, known.claim()) : own;
		return (fenced != null) ? above(c, fenced.claim()) : c;
	}

	private Claim above(Claim own, Claim low) {
		if (own.compareTo(low) > 0) {
			return own;
		}
		long rank = low.rank() + 1 + this.board.random().nextLong(Long.MAX_VALUE - low.rank() - 1);
		return new Claim(low.attempt(), rank, 0);
	}

	private void askAgain(JobRecord j) {
		FencedKey f = this.board.fencedKeys().get(j.id());
		j.reclaim((f != null) ? above(j.claim().next(), f.claim()) : j.claim().next());
		ask(j);
	}

	private long firstAttempt(JobSpec spec, JobRecord known) {
		EntrySettings s = this.board.settings();
		long age = (spec.ageMillis() < 0) ? s.windowMillis() : spec.ageMillis() + s.ageMarginMillis();
		long first = this.board.now() - age;
		return (known != null) ? Math.min(first, known.firstAttemptMillis()) : first;
	}

	private void ask(JobRecord j) {
		j.enter(JobState.ASKING, this.board.now());
		j.claimedAt(this.board.now());
		j.asked(true);
		j.holder("");
		j.fencedOut(false);
		j.pendingReplies().clear();
		for (PeerRecord p : this.board.peers().values()) {
			if (this.peers.answers(p)) {
				j.pendingReplies().add(p.address());
				this.board.send(p.address(), new JobAsk(this.board.nextId(), j.id(), j.claim(), j.bodyHash()));
			}
			else if (!p.gone() && p.info() != null) {
				j.needFence();
			}
		}
		afterReply(j);
	}

	/**
	 * Take the answer to a question.
	 * @param address the peer that answers
	 * @param m the answer
	 */
	void askReply(String address, JobAskReply m) {
		JobRecord j = this.board.jobs().get(m.jobId());
		if (j == null || j.state() != JobState.ASKING || !j.pendingReplies().remove(address)) {
			return;
		}
		switch (m.standing()) {
			case HELD -> j.holder(address);
			case BODY_DIFFERS -> this.jobs.fail(j, ResultCode.KEY_REUSED, "another body was submitted under this key");
			case SUPERSEDED -> j.fencedOut(true);
			case IN_DOUBT -> j.needFence();
			case YIELDED -> j.remoteWaiters().add(address);
			case YIELDED_IN_DOUBT -> {
				j.remoteWaiters().add(address);
				j.needFence();
			}
			default -> {
			}
		}
		afterReply(j);
	}

	private void afterReply(JobRecord j) {
		if (j.state() == JobState.ASKING && j.pendingReplies().isEmpty()) {
			if (!j.holder().isEmpty()) {
				j.attach(j.holder(), this.board.now());
			}
			else if (j.fencedOut()) {
				this.jobs.superseded(j);
			}
			else if (j.fenceNeeded() || agentsMustBeAsked(j)) {
				fence(j);
			}
			else {
				admit(j);
			}
		}
	}

	private boolean agentsMustBeAsked(JobRecord j) {
		if (j.trusted()) {
			return this.peers.lostSince(this.board.now() - this.board.settings().windowMillis());
		}
		return this.board.knownSinceMillis() > j.firstAttemptMillis() || this.peers.lostSince(j.firstAttemptMillis());
	}

	private void fence(JobRecord j) {
		j.enter(JobState.FENCING, this.board.now());
		j.pendingReplies().clear();
		j.fencedAgents().clear();
		j.asked(true);
		for (AgentRecord a : List.copyOf(this.board.agents().values())) {
			if (this.jobs.fence(j, a.ref(), PendingFence.Purpose.CLAIM)) {
				j.pendingReplies().add(a.ref());
			}
		}
		if (j.pendingReplies().isEmpty()) {
			afterFence(j);
		}
	}

	/**
	 * Take an agent's answer to a fence.
	 * @param f the fence
	 * @param r the answer
	 */
	void fenceReply(PendingFence f, FenceReply r) {
		JobRecord j = f.job();
		if (j.state() != JobState.FENCING) {
			return;
		}
		if (!r.accepted()) {
			if (r.bodyDiffers()) {
				this.jobs.fail(j, ResultCode.KEY_REUSED, "another body was submitted under this key");
			}
			else {
				this.jobs.superseded(j);
			}
			return;
		}
		j.pendingReplies().remove(f.agentRef());
		j.fencedAgents().add(f.agentRef());
		adopt(j, f.agentRef(), r.started());
		if (j.state() == JobState.FENCING && j.pendingReplies().isEmpty()) {
			afterFence(j);
		}
	}

	private void adopt(JobRecord j, String agentRef, List<TaskOutcome> started) {
		AgentRecord a = this.board.agents().get(agentRef);
		for (TaskOutcome o : started) {
			if (o.isDone()) {
				this.jobs.record(j, o);
			}
			else if (a != null && o.index() < j.spec().tasks().size()) {
				this.placement.adopt(a, j, o.index());
			}
		}
	}

	private void afterFence(JobRecord j) {
		if (j.accountedFor()) {
			j.enter(JobState.RUNNING, this.board.now());
			return;
		}
		j.pendingReplies().clear();
		if (!j.trusted() && doubtful(j)) {
			boolean late = this.board.now() - j.firstAttemptMillis() > this.board.settings().windowMillis();
			ResultCode c = (late && j.spec().ageMillis() >= 0) ? ResultCode.WINDOW_PASSED : ResultCode.OUTCOME_UNKNOWN;
			this.jobs.fail(j, c, c.message());
			return;
		}
		admit(j);
	}

	private boolean doubtful(JobRecord j) {
		boolean ledgersExpired = this.board.now() - j.firstAttemptMillis() > this.board.settings().windowMillis();
		return ledgersExpired || this.board.knownSinceMillis() > j.firstAttemptMillis()
				|| this.membership.doubtful(j.firstAttemptMillis(), j.fencedAgents());
	}

	private void admit(JobRecord j) {
		if (j.untouched()) {
			Optional<JobAnswer> refusal = this.admission.checkLoad(j);
			if (refusal.isPresent()) {
				this.jobs.end(j, refusal.get());
				return;
			}
		}
		j.enter(JobState.RUNNING, this.board.now());
		this.placement.enqueue(j);
	}

	/**
	 * Take the answer of a job from the entry that holds it.
	 * @param m the answer
	 */
	void ended(JobEnded m) {
		JobRecord j = this.board.jobs().get(m.answer().jobId());
		if (j == null || j.state() != JobState.ATTACHED && j.state() != JobState.ASKING) {
			return;
		}
		boolean settled = m.answer().resultCode().family() == CodeFamily.COMPLETE
				|| m.answer().resultCode().family() == CodeFamily.FAILED;
		if (settled || (j.state() == JobState.ATTACHED && !j.fenceNeeded())) {
			this.jobs.end(j, m.answer());
		}
		else if (j.state() == JobState.ATTACHED) {
			this.jobs.end(j, askLater(j.spec(), "not run by another entry, and not every entry has answered"));
		}
		else {
			j.holder("");
			j.needFence();
		}
	}

	/**
	 * Take a cancellation.
	 * @param requestId the caller's request
	 * @param jobId the job
	 */
	void cancel(long requestId, String jobId) {
		JobRecord j = this.board.jobs().get(jobId);
		if (j == null) {
			this.board.peers()
				.values()
				.stream()
				.filter(this.peers::answers)
				.forEach((p) -> this.board.send(p.address(), new JobCancel(jobId)));
			this.board.out()
				.answer(requestId, JobAnswer.failed(jobId, ResultCode.JOB_UNKNOWN,
						"the cancellation was passed to the other entries"));
			return;
		}
		if (j.state() == JobState.ENDED) {
			this.board.out().answer(requestId, j.answer());
			return;
		}
		j.addWaiter(new Waiter(requestId, 0));
		if (j.state() == JobState.ATTACHED) {
			this.board.send(j.holder(), new JobCancel(jobId));
		}
		else {
			cancel(jobId);
		}
	}

	/**
	 * Take a cancellation that another entry passed on.
	 * @param jobId the job
	 */
	void cancel(String jobId) {
		JobRecord j = this.board.jobs().get(jobId);
		if (j == null || !j.state().cancellable()) {
			return;
		}
		if (j.state() == JobState.RUNNING) {
			this.jobs.recall(j, ResultCode.CANCELLED, ResultCode.CANCELLED_STARTED);
		}
		else if (j.trusted() && !j.started()) {
			this.jobs.fail(j, ResultCode.CANCELLED, ResultCode.CANCELLED.message());
		}
		else {
			this.jobs.fail(j, ResultCode.OUTCOME_UNKNOWN, "cancelled while earlier attempts were looked for");
		}
	}

	/** Go on without those who have not answered in time. */
	void tick() {
		long now = this.board.now();
		EntrySettings s = this.board.settings();
		for (JobRecord j : this.board.liveJobsNow()) {
			if (j.state() == JobState.ASKING && now - j.phaseMillis() > s.peerReplyTimeoutMillis()) {
				j.needFence();
				j.pendingReplies().clear();
				afterReply(j);
			}
			else if (j.state() == JobState.FENCING && now - j.phaseMillis() > s.fenceTimeoutMillis()) {
				afterFence(j);
			}
			else if (j.state() == JobState.ATTACHED && !holderAnswers(j)) {
				askAgain(j);
			}
		}
	}

	private boolean holderAnswers(JobRecord j) {
		PeerRecord p = this.board.peers().get(j.holder());
		return p != null && this.peers.answers(p);
	}

}
