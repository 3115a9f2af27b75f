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
 * agent that has a free credit for this entry. All other waiting takes place in the
 * queue, where class, party and cancellation are still taken into account.
 * <p>
 * Invariant: this entry never has more tasks on an agent than the limit that the agent
 * last reported. Not thread-safe; used on the control thread only.
 */
final class PlacementController {

	private static final int MAX_LOOKAHEAD_TASKS = 64;

	private static final int REORDER = -1;

	private final Blackboard blackboard;

	private final MembershipController membership;

	private final Map<String, int[]> inFlightByParty = new HashMap<>();

	private boolean passRequested;

	PlacementController(Blackboard blackboard, MembershipController membership) {
		this.blackboard = blackboard;
		this.membership = membership;
	}

	/** Requests a pass over the queue at the end of the current event. */
	void requestPass() {
		this.passRequested = true;
	}

	void enqueue(JobRecord job) {
		job.enqueueRemainingTasks();
		if (job.waitingTasks() > 0) {
			this.blackboard.queue().addLast(job);
			requestPass();
		}
	}

	void dequeue(JobRecord job) {
		this.blackboard.queue().remove(job);
		job.clearWaitingTasks();
	}

	/**
	 * Returns a task that was proved not to have been started to the queue.
	 * @param placement its placement
	 */
	void requeue(Placement placement) {
		JobRecord job = placement.job();
		removePlacement(placement);
		this.blackboard.queue().remove(job);
		job.returnToWaiting(placement);
		if (job.waitingTasks() > 0 && job.state() == JobState.RUNNING) {
			this.blackboard.queue().addFirst(job);
		}
		requestPass();
	}

	/**
	 * Removes a placement from its agent.
	 * @param placement the placement
	 */
	void removePlacement(Placement placement) {
		this.blackboard.agent(placement.agentRef()).ifPresent((agent) -> {
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
	 * Adopts a task that is running on an agent for an earlier attempt.
	 * @param agent the agent
	 * @param job the job
	 * @param index the index of the task
	 */
	void adopt(AgentRecord agent, JobRecord job, int index) {
		addPlacement(agent, new Placement(job, index, agent.ref(), 0, job.claim(), this.blackboard.now()));
	}

	/**
	 * Records the end of a task in the placements, the service times and the outlier
	 * detection.
	 * @param agent the agent
	 * @param jobId the job
	 * @param outcome the outcome
	 */
	void recordTaskEnd(AgentRecord agent, String jobId, TaskOutcome outcome) {
		Placement placement = agent.placements().get(key(jobId, outcome.index()));
		agent.recordTaskEnd(this.blackboard.now());
		if (placement != null) {
			removePlacement(placement);
			if (outcome.succeeded()) {
				this.blackboard.serviceTimes()
					.record(placement.job().spec().taskClass(), agent, outcome.serviceMillis());
			}
		}
		if (outcome.succeeded()) {
			OutlierEjection.recordSuccess(agent);
		}
		else {
			OutlierEjection.recordFailure(agent, this.blackboard.now());
		}
		requestPass();
	}

	Optional<Placement> findPlacement(AgentRecord agent, String jobId, int index) {
		return Optional.ofNullable(agent.placements().get(key(jobId, index)));
	}

	/**
	 * Returns the utilization of a party's agreed share.
	 * @param party the party
	 * @param urgency the class urgency; less urgent classes are not counted
	 * @param slots the number of slots available to this entry
	 * @return the ratio of used slots to agreed slots
	 */
	private double shareUtilization(String party, int urgency, int slots) {
		double share = this.blackboard.production()
			.flatMap((v) -> v.document().party(party))
			.map(Party::share)
			.orElse(0.0);
		double agreed = Math.max(1e-6, share * slots);
		int[] inFlight = this.inFlightByParty.get(party);
		return (inFlight != null) ? inFlight[urgency] / agreed : 0;
	}

	/** Places as many waiting tasks as possible, if a pass was requested. */
	void placeWaitingTasks() {
		if (!this.passRequested) {
			return;
		}
		this.passRequested = false;
		if (this.blackboard.queue().waitingTasks() == 0) {
			return;
		}
		PlacementView view = createView();
		int slots = view.slots();
		int headroom = (int) Math.floor(this.blackboard.limits().headroom() * slots);
		List<JobRecord> deferred = new ArrayList<>();
		int lookahead = MAX_LOOKAHEAD_TASKS;
		while (lookahead > 0 && view.freeCredits() > 0) {
			Optional<JobRecord> next = this.blackboard.queue().poll((p, u) -> shareUtilization(p, u, slots));
			if (next.isEmpty()) {
				break;
			}
			JobRecord job = next.get();
			int reserved = placeTasksOf(view, job, headroom, lookahead);
			if (reserved == REORDER) {
				this.blackboard.queue().addFirst(job);
			}
			else if (job.waitingTasks() > 0) {
				lookahead -= Math.max(1, reserved);
				deferred.add(job);
			}
		}
		for (int i = deferred.size() - 1; i >= 0; i--) {
			this.blackboard.queue().addFirst(deferred.get(i));
		}
	}

	/**
	 * Places the next task of a job, or reserves a busy agent for it and continues with
	 * the tasks behind it, which may still end sooner on a free agent.
	 * @param view the state of the agents
	 * @param job the job
	 * @param headroom the number of free credits reserved for the most urgent class
	 * @param lookahead the maximum number of tasks to reserve agents for
	 * @return {@link #REORDER} if a task was placed and the order of the jobs must be
	 * evaluated again, else the number of tasks that an agent was reserved for
	 */
	private int placeTasksOf(PlacementView view, JobRecord job, int headroom, int lookahead) {
		view.selectJob(job);
		boolean urgent = job.taskClass().urgency() == 0;
		int reserved = 0;
		while (reserved < Math.min(lookahead, job.waitingTasks()) && (urgent || view.freeCredits() > headroom)) {
			PlacementPolicy.Choice choice = this.blackboard.settings().policy().choose(view);
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
		for (AgentRecord agent : this.blackboard.agents().values()) {
			if (this.membership.isUsable(agent)) {
				usable.add(agent);
			}
		}
		Set<String> ejected = OutlierEjection.selectEjected(usable, this.blackboard.limits().maxSetAside());
		usable.removeIf((a) -> ejected.contains(a.ref()) && !OutlierEjection.probeDue(a, this.blackboard.now()));
		return new PlacementView(usable, this.blackboard.serviceTimes(), this.blackboard.random(),
				this.blackboard.now());
	}

	private void dispatch(AgentRecord agent, JobRecord job, int index) {
		long now = this.blackboard.now();
		Placement placement = new Placement(job, index, agent.ref(), this.blackboard.nextId(), job.claim(), now);
		addPlacement(agent, placement);
		TaskSpec task = job.spec().tasks().get(index);
		agent.recordSend(now);
		this.blackboard.send(agent.link(),
				new Dispatch(job.id(), job.claim(), index, placement.dispatchId(), agent.agentStampMillis(),
						this.blackboard.queue().waitingTasks(), job.party(), job.spec().taskClass(),
						job.documentVersion(), job.bodyHash(), task.payload()));
		List<TaskClass> classes = this.blackboard.production()
			.map(DocumentVersion::document)
			.map((d) -> d.classes())
			.orElse(List.of());
		this.blackboard.queue().recordStart(job.taskClass(), classes);
	}

}
