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

	private static final long MAX_ANSWER_BYTES = 16L << 20;

	private final Blackboard board;

	private final Deque<JobRecord> answers = new ArrayDeque<>();

	private long answerBytes;

	private final PlacementController placement;

	private final PeerController peers;

	JobController(Blackboard board, PlacementController placement, PeerController peers) {
		this.board = board;
		this.placement = placement;
		this.peers = peers;
	}

	/**
	 * End a job and answer its callers.
	 * @param j the job
	 * @param answer the answer
	 */
	void end(JobRecord j, JobAnswer answer) {
		if (j.state() == JobState.ENDED) {
			return;
		}
		JobAnswer a = proved(j, answer);
		Set<String> agents = agentsOf(j);
		this.placement.dequeue(j);
		j.end(a, this.board.now());
		hold(j);
		this.board.liveJobs().remove(j.id());
		for (Waiter w : j.waiters()) {
			this.board.out().answer(w.requestId(), provedFor(j, w, a));
		}
		for (String link : j.remoteWaiters()) {
			this.board.send(link, new JobEnded(a));
		}
		this.board.out().jobEnded(j.summary(this.board.now()));
		if (a.resultCode() != ResultCode.SUPERSEDED) {
			agents.forEach((ref) -> fence(j, ref, PendingFence.Purpose.RECALL));
		}
		if (a.resultCode().family() == CodeFamily.NOT_RUN) {
			forget(j);
		}
	}

	// A flood of refusals costs no memory; the claim stays if others were told of it.
	private void forget(JobRecord j) {
		this.board.jobs().remove(j.id(), j);
		if (j.asked()) {
			promise(j.id(), j.claim());
		}
	}

	// A job that has waited may have been resubmitted through an entry that could not
	// reach
	// this one. That nothing was run is said only if all entries were in touch.
	private JobAnswer proved(JobRecord j, JobAnswer a) {
		if (a.resultCode().family() != CodeFamily.NOT_RUN) {
			return a;
		}
		boolean fresh = this.board.now() == j.arrivedMillis();
		if (!j.unproved() && (fresh || this.peers.inTouchSince(j.arrivedMillis()))) {
			return a;
		}
		return JobAnswer.failed(j.id(), ResultCode.ASK_LATER, "not run here; not every entry can be asked");
	}

	private static JobAnswer provedFor(JobRecord j, Waiter w, JobAnswer a) {
		if (a.resultCode().family() != CodeFamily.NOT_RUN || !j.mayBeElsewhere(w)) {
			return a;
		}
		return JobAnswer.failed(j.id(), ResultCode.ASK_LATER, "not run here; another attempt may be elsewhere");
	}

	/**
	 * Promise to give way to a claim.
	 * @param jobId the job
	 * @param c the claim
	 */
	void promise(String jobId, Claim c) {
		FencedKey old = this.board.fencedKeys().remove(jobId);
		Claim highest = (old != null && old.claim().compareTo(c) > 0) ? old.claim() : c;
		this.board.fencedKeys().put(jobId, new FencedKey(highest, this.board.now()));
	}

	void fail(JobRecord j, ResultCode code, String detail) {
		end(j, JobAnswer.failed(j.id(), code, detail));
	}

	/**
	 * Send a fence under a raised claim.
	 * @param j the job
	 * @param agentRef the agent
	 * @param purpose why
	 * @return {@code true} if the agent is linked
	 */
	boolean fence(JobRecord j, String agentRef, PendingFence.Purpose purpose) {
		AgentRecord a = this.board.agents().get(agentRef);
		if (a == null || !a.linked()) {
			return false;
		}
		long watermark = this.board.lastId();
		long fenceId = this.board.nextId();
		Claim c = (purpose != PendingFence.Purpose.CLAIM) ? j.raiseClaim() : j.claim();
		this.board.pendingFences().put(fenceId, new PendingFence(j, agentRef, purpose, watermark, this.board.now()));
		a.sent(this.board.now());
		this.board.send(a.link(), new Fence(fenceId, j.id(), c, j.bodyHash()));
		return true;
	}

	private Set<String> agentsOf(JobRecord j) {
		Set<String> r = new LinkedHashSet<>();
		j.placements().values().forEach((p) -> r.add(p.agentRef()));
		return r;
	}

	/**
	 * End a job once it is known what of it was started.
	 * @param j the job
	 * @param notRun the code if nothing was
	 * @param started the code if something was
	 */
	void recall(JobRecord j, ResultCode notRun, ResultCode started) {
		if (j.state() == JobState.ENDED || j.state() == JobState.RECALLING) {
			return;
		}
		this.placement.dequeue(j);
		j.recall(notRun, started);
		j.enter(JobState.RECALLING, this.board.now());
		j.pendingReplies().clear();
		for (String ref : agentsOf(j)) {
			fence(j, ref, PendingFence.Purpose.RECALL);
			j.pendingReplies().add(ref);
		}
		concludeRecall(j);
	}

	private void concludeRecall(JobRecord j) {
		if (j.state() == JobState.RECALLING && j.pendingReplies().isEmpty()) {
			fail(j, j.recallCode(), j.recallCode().message());
		}
	}

	/**
	 * Take the end of a task.
	 * @param a the agent
	 * @param m the message
	 */
	void taskEnded(AgentRecord a, TaskEnded m) {
		this.placement.ended(a, m.jobId(), m.outcome());
		JobRecord j = this.board.jobs().get(m.jobId());
		if (j != null && j.state().holdsTasks()) {
			record(j, m.outcome());
		}
	}

	/**
	 * Record an ended task and end the job if it is whole or failed.
	 * @param j the job
	 * @param o the outcome
	 */
	void record(JobRecord j, TaskOutcome o) {
		if (o.index() < 0 || o.index() >= j.spec().tasks().size() || !j.record(o)) {
			return;
		}
		if (!o.succeeded()) {
			ResultCode c = ResultCode.of(o.code()).orElse(ResultCode.TASK_FAILED);
			fail(j, c, "task " + o.index() + ": " + c.message());
		}
		else if (j.wholeResult()) {
			end(j, JobAnswer.complete(j.id(), j.results()));
		}
	}

	/**
	 * Take a refusal of the gate. The dispatch is proved not to be started.
	 * @param a the agent
	 * @param m the message
	 */
	void refused(AgentRecord a, TaskRefused m) {
		Placement p = this.placement.placement(a, m.jobId(), m.index())
			.filter((x) -> x.dispatchId() == m.dispatchId() || neverReached(x, m))
			.orElse(null);
		if (p == null) {
			return;
		}
		JobRecord j = p.job();
		boolean ownFence = !p.claim().equals(j.claim());
		this.placement.requeue(p);
		if (m.code() == ResultCode.GATE_FENCED.number() && !ownFence) {
			superseded(j);
		}
		else if (m.code() == ResultCode.KEY_REUSED.number()) {
			recall(j, ResultCode.KEY_REUSED, ResultCode.TASK_FAILED);
		}
		else {
			concludeGivenBack(j, a.ref());
		}
	}

	private static boolean neverReached(Placement p, TaskRefused m) {
		return p.adopted() && m.code() == ResultCode.GATE_ENDPOINT_DOWN.number();
	}

	void superseded(JobRecord j) {
		fail(j, ResultCode.SUPERSEDED, ResultCode.SUPERSEDED.message());
	}

	private void concludeGivenBack(JobRecord j, String agentRef) {
		boolean left = j.placements().values().stream().anyMatch((p) -> p.agentRef().equals(agentRef));
		if (!left) {
			j.pendingReplies().remove(agentRef);
			concludeRecall(j);
		}
	}

	/**
	 * Take the answer to a fence that was sent for recovery or recall.
	 * @param f the fence
	 * @param r the answer
	 */
	void fenceReply(PendingFence f, FenceReply r) {
		JobRecord j = f.job();
		if (!r.accepted()) {
			superseded(j);
			giveBack(f, Set.of());
			return;
		}
		Set<Integer> started = new HashSet<>();
		for (TaskOutcome o : r.started()) {
			started.add(o.index());
			j.noteStarted();
		}
		giveBack(f, started);
		AgentRecord a = this.board.agents().get(f.agentRef());
		for (TaskOutcome o : r.started()) {
			if (o.isDone() && a != null) {
				this.placement.ended(a, j.id(), o);
				if (j.state().holdsTasks()) {
					record(j, o);
				}
			}
		}
		j.pendingReplies().remove(f.agentRef());
		concludeRecall(j);
	}

	private void giveBack(PendingFence f, Set<Integer> started) {
		AgentRecord a = this.board.agents().get(f.agentRef());
		if (a == null) {
			return;
		}
		for (Placement p : List.copyOf(a.placements().values())) {
			boolean covered = p.job() == f.job() && p.dispatchId() <= f.watermark();
			if (covered && !started.contains(p.index())) {
				this.placement.requeue(p);
			}
		}
	}

	/**
	 * Ask what became of the dispatches whose link was cut.
	 * @param a the agent, linked again
	 */
	void recover(AgentRecord a) {
		Set<JobRecord> jobs = new LinkedHashSet<>();
		a.placements().values().forEach((p) -> jobs.add(p.job()));
		for (JobRecord j : jobs) {
			fence(j, a.ref(),
					(j.state() == JobState.ENDED) ? PendingFence.Purpose.RECALL : PendingFence.Purpose.RECOVER);
		}
	}

	/**
	 * Give up the tasks of an agent that stays away.
	 * @param a the agent
	 */
	void giveUp(AgentRecord a) {
		Set<JobRecord> jobs = new LinkedHashSet<>();
		for (Placement p : List.copyOf(a.placements().values())) {
			this.placement.drop(p);
			jobs.add(p.job());
		}
		for (JobRecord j : jobs) {
			if (j.state().holdsTasks()) {
				fail(j, ResultCode.AGENT_LOST, "agent " + a.info().agentId() + " was lost with tasks of this job");
			}
		}
	}

	/** End what is past its time. */
	void tick() {
		long now = this.board.now();
		EntrySettings s = this.board.settings();
		for (JobRecord j : this.board.liveJobsNow()) {
			if (j.state() == JobState.RECALLING) {
				if (now - j.phaseMillis() > s.fenceTimeoutMillis()) {
					ResultCode c = j.started() ? j.recallCode() : ResultCode.AGENT_LOST;
					fail(j, c, c.message());
				}
			}
			else if (j.state() == JobState.RUNNING) {
				checkTimes(j, now);
			}
			else if (now > j.deadlineMillis()) {
				fail(j, ResultCode.OUTCOME_UNKNOWN, "the deadline passed while earlier attempts were looked for");
			}
		}
		for (AgentRecord a : this.board.agents().values()) {
			if (!a.placements().isEmpty() && now - a.heardMillis() > s.lostAfterMillis()) {
				giveUp(a);
			}
		}
		expire(now, s);
	}

	private void checkTimes(JobRecord j, long now) {
		if (now > j.deadlineMillis()) {
			recall(j, ResultCode.DEADLINE_NOT_RUN, ResultCode.DEADLINE_STARTED);
		}
		else if (j.untouched() && now - j.arrivedMillis() > j.taskClass().queueBoundMillis()) {
			recall(j, ResultCode.QUEUE_TIMEOUT, ResultCode.DEADLINE_STARTED);
		}
	}

	// The oldest answers are dropped first; their jobs stay, so that nothing is run
	// again.
	private void hold(JobRecord j) {
		if (j.resultBytes() > 0) {
			this.answers.add(j);
			this.answerBytes += j.resultBytes();
		}
		while (this.answerBytes > MAX_ANSWER_BYTES) {
			JobRecord oldest = this.answers.poll();
			this.answerBytes -= oldest.resultBytes();
			oldest.dropResults();
		}
	}

	private void expire(long now, EntrySettings s) {
		while (!this.answers.isEmpty() && now - this.answers.peek().endedMillis() > s.windowMillis()) {
			this.answerBytes -= this.answers.poll().resultBytes();
		}
		this.board.jobs()
			.values()
			.removeIf((j) -> j.state() == JobState.ENDED && now - j.endedMillis() > s.windowMillis());
		this.board.fencedKeys().values().removeIf((f) -> now - f.fencedMillis() > s.windowMillis());
		this.board.pendingFences().values().removeIf((f) -> now - f.sentMillis() > s.windowMillis());
	}

}
