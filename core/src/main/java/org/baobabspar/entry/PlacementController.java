package org.baobabspar.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.baobabspar.document.DocumentVersion;
import org.baobabspar.document.Party;
import org.baobabspar.document.TaskClass;
import org.baobabspar.message.Dispatch;
import org.baobabspar.model.TaskOutcome;
import org.baobabspar.model.TaskSpec;

/**
 * Binds waiting tasks to agents as late as possible: a task leaves the queue only for an
 * agent that has granted this entry a place for it. All other waiting is done here, where
 * class, party and cancellation still count.
 * <p>
 * Invariant: this entry never has more tasks at an agent than the agent's limit, as last
 * heard. Used on the control thread only.
 */
final class PlacementController {

	private static final int LOOKAHEAD = 64;

	private static final int YIELD = -1;

	private final Blackboard board;

	private final MembershipController membership;

	private final Map<String, int[]> inFlight = new HashMap<>();

	private boolean dirty;

	PlacementController(Blackboard board, MembershipController membership) {
		this.board = board;
		this.membership = membership;
	}

	/** Ask for a pass over the queue at the end of the current event. */
	void wake() {
		this.dirty = true;
	}

	void enqueue(JobRecord j) {
		j.fillQueue();
		if (j.waitingTasks() > 0) {
			this.board.queue().add(j);
			wake();
		}
	}

	void dequeue(JobRecord j) {
		this.board.queue().remove(j);
		j.clearQueue();
	}

	/**
	 * Put a task back in line that is proved not to have been started.
	 * @param p its placement
	 */
	void requeue(Placement p) {
		JobRecord j = p.job();
		drop(p);
		this.board.queue().remove(j);
		j.withdraw(p);
		if (j.waitingTasks() > 0 && j.state() == JobState.RUNNING) {
			this.board.queue().restore(j);
		}
		wake();
	}

	/**
	 * Take a placement off its agent.
	 * @param p the placement
	 */
	void drop(Placement p) {
		this.board.agent(p.agentRef()).ifPresent((a) -> {
			if (a.placements().remove(key(p.job().id(), p.index()), p)) {
				count(p.job(), -1);
			}
		});
	}

	private static String key(String jobId, int index) {
		return jobId + "#" + index;
	}

	private void count(JobRecord j, int change) {
		int[] byUrgency = this.inFlight.computeIfAbsent(j.party(), (p) -> new int[TaskClass.MAX_URGENCY + 1]);
		for (int u = j.taskClass().urgency(); u < byUrgency.length; u++) {
			byUrgency[u] += change;
		}
	}

	private void put(AgentRecord a, Placement p) {
		Placement old = a.placements().put(key(p.job().id(), p.index()), p);
		if (old == null) {
			count(p.job(), 1);
		}
		p.job().place(p);
	}

	/**
	 * Take over a task that runs at an agent for an earlier attempt.
	 * @param a the agent
	 * @param j the job
	 * @param index the task
	 */
	void adopt(AgentRecord a, JobRecord j, int index) {
		put(a, new Placement(j, index, a.ref(), 0, j.claim(), this.board.now()));
	}

	/**
	 * Note the end of a task.
	 * @param a the agent
	 * @param jobId the job
	 * @param o the outcome
	 */
	void ended(AgentRecord a, String jobId, TaskOutcome o) {
		Placement p = a.placements().get(key(jobId, o.index()));
		a.endedTask(this.board.now());
		if (p != null) {
			drop(p);
			if (o.succeeded()) {
				this.board.model().record(p.job().spec().taskClass(), a, o.serviceMillis());
			}
		}
		if (o.succeeded()) {
			SetAside.succeeded(a);
		}
		else {
			SetAside.failed(a, this.board.now());
		}
		wake();
	}

	Optional<Placement> placement(AgentRecord a, String jobId, int index) {
		return Optional.ofNullable(a.placements().get(key(jobId, index)));
	}

	/**
	 * Tell how much of its agreed share a party uses.
	 * @param party the party
	 * @param urgency count the classes of this urgency and more urgent ones only
	 * @param slots the slots that this entry may use
	 * @return slots used over slots agreed
	 */
	private double useOfShare(String party, int urgency, int slots) {
		double share = this.board.production().flatMap((v) -> v.document().party(party)).map(Party::share).orElse(0.0);
		double agreed = Math.max(1e-6, share * slots);
		int[] used = this.inFlight.get(party);
		return (used != null) ? used[urgency] / agreed : 0;
	}

	/** Place what can be placed, if anything has changed since the last pass. */
	void run() {
		if (!this.dirty) {
			return;
		}
		this.dirty = false;
		if (this.board.queue().tasks() == 0) {
			return;
		}
		PlacingView v = view();
		int slots = v.slots();
		int headroom = (int) Math.floor(this.board.limits().headroom() * slots);
		List<JobRecord> aside = new ArrayList<>();
		int lookahead = LOOKAHEAD;
		while (lookahead > 0 && v.freeCredits() > 0) {
			Optional<JobRecord> next = this.board.queue().poll((p, u) -> useOfShare(p, u, slots));
			if (next.isEmpty()) {
				break;
			}
			JobRecord j = next.get();
			int held = placeFrom(v, j, headroom, lookahead);
			if (held == YIELD) {
				this.board.queue().restore(j);
			}
			else if (j.waitingTasks() > 0) {
				lookahead -= Math.max(1, held);
				aside.add(j);
			}
		}
		for (int i = aside.size() - 1; i >= 0; i--) {
			this.board.queue().restore(aside.get(i));
		}
	}

	/**
	 * Place the next task of a job, or hold it for a busy agent and look at the tasks
	 * behind it, which may still end sooner on a free one.
	 * @param v what is known of the agents
	 * @param j the job
	 * @param headroom free places that only the most urgent class may use
	 * @param lookahead the most tasks to hold
	 * @return {@link #YIELD} if a task was placed and the order of the jobs is to be
	 * looked at again, else how many tasks were held
	 */
	private int placeFrom(PlacingView v, JobRecord j, int headroom, int lookahead) {
		v.forJob(j);
		boolean urgent = j.taskClass().urgency() == 0;
		int held = 0;
		while (held < Math.min(lookahead, j.waitingTasks()) && (urgent || v.freeCredits() > headroom)) {
			PlacementPolicy.Choice c = this.board.settings().policy().choose(v);
			if (c.agent() == null) {
				return held;
			}
			if (!c.now()) {
				v.hold(c.agent());
				held++;
				continue;
			}
			dispatch(c.agent(), j, j.pollTask());
			if (held == 0 && j.waitingTasks() > 0) {
				return YIELD;
			}
		}
		return held;
	}

	private PlacingView view() {
		List<AgentRecord> usable = new ArrayList<>();
		for (AgentRecord a : this.board.agents().values()) {
			if (this.membership.usable(a)) {
				usable.add(a);
			}
		}
		Set<String> aside = SetAside.choose(usable, this.board.limits().maxSetAside());
		usable.removeIf((a) -> aside.contains(a.ref()) && !SetAside.probeDue(a, this.board.now()));
		return new PlacingView(usable, this.board.model(), this.board.random(), this.board.now());
	}

	private void dispatch(AgentRecord a, JobRecord j, int index) {
		long now = this.board.now();
		Placement p = new Placement(j, index, a.ref(), this.board.nextId(), j.claim(), now);
		put(a, p);
		TaskSpec t = j.spec().tasks().get(index);
		a.sent(now);
		this.board.send(a.link(),
				new Dispatch(j.id(), j.claim(), index, p.dispatchId(), a.stampMillis(), this.board.queue().tasks(),
						j.party(), j.spec().taskClass(), j.documentVersion(), j.bodyHash(), t.payload()));
		List<TaskClass> classes = this.board.production()
			.map(DocumentVersion::document)
			.map((d) -> d.classes())
			.orElse(List.of());
		this.board.queue().started(j.taskClass(), classes);
	}

}
