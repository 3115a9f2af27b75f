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

	private static final int MAX_LOOKAHEAD_TASKS = 64;

	private static final int REORDER = -1;

	private final EntryContext context;

	private final MembershipController membership;

	private final Map<String, int[]> inFlightByParty = new HashMap<>();

	private boolean passRequested;

	PlacementController(EntryContext context, MembershipController membership) {
		this.context = context;
		this.membership = membership;
	}

	/** Ask for a pass over the queue at the end of the current event. */
	void requestPass() {
		this.passRequested = true;
	}

	void enqueue(JobRecord job) {
		job.enqueueRemainingTasks();
		if (job.waitingTasks() > 0) {
			this.context.queue().addLast(job);
			requestPass();
		}
	}

	void dequeue(JobRecord job) {
		this.context.queue().remove(job);
		job.clearWaitingTasks();
	}

	/**
	 * Put a task back in line that is proved not to have been started.
	 * @param placement its placement
	 */
	void requeue(Placement placement) {
		JobRecord job = placement.job();
		removePlacement(placement);
		this.context.queue().remove(job);
		job.returnToWaiting(placement);
		if (job.waitingTasks() > 0 && job.state() == JobState.RUNNING) {
			this.context.queue().addFirst(job);
		}
		requestPass();
	}

	/**
	 * Take a placement off its agent.
	 * @param placement the placement
	 */
	void removePlacement(Placement placement) {
		this.context.agent(placement.agentRef()).ifPresent((agent) -> {
			if (agent.placements().remove(key(placement.job().id(), placement.index()), placement)) {
				adjustInFlight(placement.job(), -1);
			}
		});
	}

	private static String key(String jobId, int index) {
		return jobId + "#" + index;
	}

	private void adjustInFlight(JobRecord job, int change) {
		int[] byUrgency = this.inFlightByParty.computeIfAbsent(job.party(), (p) -> new int[TaskClass.MAX_URGENCY + 1]);
		for (int level = job.taskClass().urgency(); level < byUrgency.length; level++) {
			byUrgency[level] += change;
		}
	}

	private void addPlacement(AgentRecord agent, Placement placement) {
		Placement previous = agent.placements().put(key(placement.job().id(), placement.index()), placement);
		if (previous == null) {
			adjustInFlight(placement.job(), 1);
		}
		placement.job().addPlacement(placement);
	}

	/**
	 * Take over a task that runs at an agent for an earlier attempt.
	 * @param agent the agent
	 * @param job the job
	 * @param index the task
	 */
	void adopt(AgentRecord agent, JobRecord job, int index) {
		addPlacement(agent, new Placement(job, index, agent.ref(), 0, job.claim(), this.context.now()));
	}

	/**
	 * Note the end of a task.
	 * @param agent the agent
	 * @param jobId the job
	 * @param outcome the outcome
	 */
	void recordTaskEnd(AgentRecord agent, String jobId, TaskOutcome outcome) {
		Placement placement = agent.placements().get(key(jobId, outcome.index()));
		agent.recordTaskEnd(this.context.now());
		if (placement != null) {
			removePlacement(placement);
			if (outcome.succeeded()) {
				this.context.serviceTimes().record(placement.job().spec().taskClass(), agent, outcome.serviceMillis());
			}
		}
		if (outcome.succeeded()) {
			OutlierEjection.recordSuccess(agent);
		}
		else {
			OutlierEjection.recordFailure(agent, this.context.now());
		}
		requestPass();
	}

	Optional<Placement> findPlacement(AgentRecord agent, String jobId, int index) {
		return Optional.ofNullable(agent.placements().get(key(jobId, index)));
	}

	/**
	 * Tell how much of its agreed share a party uses.
	 * @param party the party
	 * @param urgency count the classes of this urgency and more urgent ones only
	 * @param slots the slots that this entry may use
	 * @return slots used over slots agreed
	 */
	private double shareUtilization(String party, int urgency, int slots) {
		double share = this.context.production()
			.flatMap((v) -> v.document().party(party))
			.map(Party::share)
			.orElse(0.0);
		double agreed = Math.max(1e-6, share * slots);
		int[] inFlight = this.inFlightByParty.get(party);
		return (inFlight != null) ? inFlight[urgency] / agreed : 0;
	}

	/** Place what can be placed, if anything has changed since the last pass. */
	void placeWaitingTasks() {
		if (!this.passRequested) {
			return;
		}
		this.passRequested = false;
		if (this.context.queue().waitingTasks() == 0) {
			return;
		}
		PlacementView view = createView();
		int slots = view.slots();
		int headroom = (int) Math.floor(this.context.limits().headroom() * slots);
		List<JobRecord> deferred = new ArrayList<>();
		int lookahead = MAX_LOOKAHEAD_TASKS;
		while (lookahead > 0 && view.freeCredits() > 0) {
			Optional<JobRecord> next = this.context.queue().poll((p, u) -> shareUtilization(p, u, slots));
			if (next.isEmpty()) {
				break;
			}
			JobRecord job = next.get();
			int reserved = placeTasksOf(view, job, headroom, lookahead);
			if (reserved == REORDER) {
				this.context.queue().addFirst(job);
			}
			else if (job.waitingTasks() > 0) {
				lookahead -= Math.max(1, reserved);
				deferred.add(job);
			}
		}
		for (int i = deferred.size() - 1; i >= 0; i--) {
			this.context.queue().addFirst(deferred.get(i));
		}
	}

	/**
	 * Place the next task of a job, or hold it for a busy agent and look at the tasks
	 * behind it, which may still end sooner on a free one.
	 * @param view what is known of the agents
	 * @param job the job
	 * @param headroom free places that only the most urgent class may use
	 * @param lookahead the most tasks to hold
	 * @return {@link #YIELD} if a task was placed and the order of the jobs is to be
	 * looked at again, else how many tasks were held
	 */
	private int placeTasksOf(PlacementView view, JobRecord job, int headroom, int lookahead) {
		view.selectJob(job);
		boolean urgent = job.taskClass().urgency() == 0;
		int reserved = 0;
		while (reserved < Math.min(lookahead, job.waitingTasks()) && (urgent || view.freeCredits() > headroom)) {
			PlacementPolicy.Choice choice = this.context.settings().policy().choose(view);
			if (choice.agent() == null) {
				return reserved;
			}
			if (!choice.immediate()) {
				view.reserve(choice.agent());
				reserved++;
				continue;
			}
			dispatch(choice.agent(), job, job.pollWaitingTask());
			if (reserved == 0 && job.waitingTasks() > 0) {
				return REORDER;
			}
		}
		return reserved;
	}

	private PlacementView createView() {
		List<AgentRecord> usable = new ArrayList<>();
		for (AgentRecord agent : this.context.agents().values()) {
			if (this.membership.isUsable(agent)) {
				usable.add(agent);
			}
		}
		Set<String> ejected = OutlierEjection.selectEjected(usable, this.context.limits().maxSetAside());
		usable.removeIf((a) -> ejected.contains(a.ref()) && !OutlierEjection.probeDue(a, this.context.now()));
		return new PlacementView(usable, this.context.serviceTimes(), this.context.random(), this.context.now());
	}

	private void dispatch(AgentRecord agent, JobRecord job, int index) {
		long now = this.context.now();
		Placement placement = new Placement(job, index, agent.ref(), this.context.nextId(), job.claim(), now);
		addPlacement(agent, placement);
		TaskSpec task = job.spec().tasks().get(index);
		agent.recordSend(now);
		this.context.send(agent.link(),
				new Dispatch(job.id(), job.claim(), index, placement.dispatchId(), agent.agentStampMillis(),
						this.context.queue().waitingTasks(), job.party(), job.spec().taskClass(), job.documentVersion(),
						job.bodyHash(), task.payload()));
		List<TaskClass> classes = this.context.production()
			.map(DocumentVersion::document)
			.map((d) -> d.classes())
			.orElse(List.of());
		this.context.queue().recordStart(job.taskClass(), classes);
	}

}
