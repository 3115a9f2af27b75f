package org.baobabspar.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.baobabspar.fleet.Resources;

/**
 * Selects endpoints of one service for the ready tasks of jobs.
 * <p>
 * A task goes to the slowest endpoint on which its job still meets its objective. A job
 * is answered when its last task is done, and its objective grows with its work, so short
 * tasks are in time on slow endpoints while long tasks are not. Example: the objective is
 * 1.6 times the work plus 60 ms. A task of 86 ms takes 143 ms at speed 0.6 and has 197
 * ms. A task of 1286 ms takes 2143 ms at that speed and has only 2117 ms, so it goes to
 * an endpoint of speed 1.
 * <p>
 * The ready tasks of a job start together or not at all, unless they need more than
 * {@link #WIDE_JOB_SHARE} of the capacity, the job may have started already, or it may
 * start in part. It may if it goes before others of lower priority: while the fleet is
 * full, room comes free for a task at a time, and a wide job would never find enough of
 * it before narrow jobs take it. One job at a time starts in part, so that the room goes
 * to jobs one after the other and not to all of them at once.
 * <p>
 * An instance holds the free room during one placement pass, in which many jobs may wait
 * while there is room for none of them. Invariant: a task that needs at least as much
 * room as one that fitted nowhere costs no look at the endpoints. Not thread-safe; used
 * on the control thread only.
 */
final class EndpointSelector {

	/** Time that messages, starts and the answer take in addition to the work. */
	static final double OVERHEAD_MILLIS = 12;

	/**
	 * Share of the capacity above which the ready tasks of a job are started one by one
	 * as room becomes free, instead of all together.
	 */
	private static final double WIDE_JOB_SHARE = 0.25;

	/**
	 * Factor by which a task may take longer than predicted and its job is still in time,
	 * on the endpoints that are preferred.
	 */
	private static final double PREDICTION_MARGIN = 1.5;

	/**
	 * Utilization of the processors up to which endpoints are chosen with the margin.
	 * Beyond, short tasks would take the room on fast endpoints that long ones need.
	 */
	private static final double MARGIN_MAX_UTILIZATION = 0.6;

	private final List<Candidate> candidates = new ArrayList<>();

	private final long nowMillis;

	private Resources capacity = Resources.NONE;

	private double highestSpeed;

	private final boolean withMargin;

	/** Whether a job has started and waits for room for the rest of its ready tasks. */
	private boolean partWaiting;

	/** The least room that was found nowhere, {@code null} while there is none. */
	private Resources unavailableRoom;

	EndpointSelector(List<AgentView> agents, String domain, long nowMillis) {
		this.nowMillis = nowMillis;
		for (AgentView agent : agents) {
			this.candidates.add(new Candidate(agent, domain));
			this.capacity = this.capacity.plus(agent.status.capacity());
			this.highestSpeed = Math.max(this.highestSpeed, agent.status.speed());
		}
		this.withMargin = utilization() <= MARGIN_MAX_UTILIZATION;
	}

	boolean empty() {
		return this.candidates.isEmpty();
	}

	double highestSpeed() {
		return this.highestSpeed;
	}

	/**
	 * Selects endpoints for the ready tasks of a job and takes up their free room.
	 * @param job the job
	 * @param late whether endpoints are accepted on which the job misses its objective
	 * @param goesFirst whether the job goes before others of lower priority
	 * @return the assignments, none if the job has to wait
	 */
	List<Assignment> select(DispatchedJob job, boolean late, boolean goesFirst) {
		List<DispatchedTask> ready = job.readyTasks();
		List<Assignment> assignments = new ArrayList<>();
		List<Candidate> selected = new ArrayList<>();
		for (DispatchedTask task : ready) {
			Optional<Candidate> candidate = select(task, late, assignments);
			if (candidate.isEmpty()) {
				break;
			}
			selected.add(candidate.get());
			assignments.add(new Assignment(task, candidate.get().agent));
			candidate.get().take(task.step.resources());
		}
		boolean whole = assignments.size() == ready.size();
		boolean inPart = goesFirst && !late && !this.partWaiting;
		if (!whole && !wide(ready) && !job.mayHaveStarted() && !inPart) {
			for (int i = 0; i < selected.size(); i++) {
				selected.get(i).giveBack(assignments.get(i).task().step.resources());
			}
			return List.of();
		}
		this.partWaiting |= !whole && (job.mayHaveStarted() || !assignments.isEmpty());
		return assignments;
	}

	private boolean wide(List<DispatchedTask> ready) {
		Resources total = ready.get(0).step.resources().times(ready.size());
		return total.cpuMillicores() > WIDE_JOB_SHARE * this.capacity.cpuMillicores()
				|| total.memoryMegabytes() > WIDE_JOB_SHARE * this.capacity.memoryMegabytes();
	}

	/**
	 * Selects the endpoint of lowest cost among those that have room and are fast enough,
	 * with the margin for errors of the prediction if there are such, or the fastest one
	 * that has room if late endpoints are accepted.
	 * @param task the task
	 * @param late whether endpoints are accepted on which the job misses its objective
	 * @param assignments the assignments of the same job so far
	 * @return the endpoint, empty if the task has to wait
	 */
	private Optional<Candidate> select(DispatchedTask task, boolean late, List<Assignment> assignments) {
		Resources room = task.step.resources();
		if (this.unavailableRoom != null && this.unavailableRoom.fitsInto(room)) {
			return Optional.empty();
		}
		double workMillis = task.job.predictedMillis[task.stepIndex];
		double requiredSpeed = requiredSpeed(task.job, workMillis, 1);
		double safeSpeed = this.withMargin ? requiredSpeed(task.job, workMillis, PREDICTION_MARGIN) : requiredSpeed;
		Candidate safest = null;
		Candidate cheapest = null;
		Candidate fastest = null;
		boolean roomFound = false;
		for (Candidate candidate : this.candidates) {
			if (!room.fitsInto(candidate.lent)) {
				continue;
			}
			roomFound = true;
			if (!admits(task, candidate.agent, assignments)) {
				continue;
			}
			if (candidate.speed >= requiredSpeed && (cheapest == null || candidate.cost() < cheapest.cost())) {
				cheapest = candidate;
			}
			if (candidate.speed >= safeSpeed && (safest == null || candidate.cost() < safest.cost())) {
				safest = candidate;
			}
			if (fastest == null || candidate.speed > fastest.speed) {
				fastest = candidate;
			}
		}
		if (!roomFound && assignments.isEmpty()) {
			this.unavailableRoom = room;
		}
		Candidate inTime = (safest != null) ? safest : cheapest;
		return Optional.ofNullable((inTime != null || !late) ? inTime : fastest);
	}

	private boolean admits(DispatchedTask task, AgentView agent, List<Assignment> assignments) {
		String label = task.step.requiredLabel();
		if (!label.isEmpty() && !agent.status.labels().contains(label)) {
			return false;
		}
		if (task.failedAgents.contains(agent.name) && task.failedAgents.size() < this.candidates.size()) {
			return false;
		}
		int limit = task.step.maxPerEndpoint();
		return limit == 0 || tasksOfSameStep(task, agent, assignments) < limit;
	}

	private long tasksOfSameStep(DispatchedTask task, AgentView agent, List<Assignment> assignments) {
		long outstanding = agent.outstandingTasks.values()
			.stream()
			.filter((o) -> o.job == task.job && o.stepIndex == task.stepIndex)
			.count();
		return outstanding + assignments.stream()
			.filter((a) -> a.agent() == agent && a.task().stepIndex == task.stepIndex)
			.count();
	}

	/**
	 * Returns the speed from which on an endpoint meets the objective of a job.
	 * @param job the job
	 * @param workMillis the predicted work of the next task at speed 1
	 * @param margin the actual work divided by the predicted one
	 * @return the speed, infinite if no endpoint can
	 */
	private double requiredSpeed(DispatchedJob job, double workMillis, double margin) {
		double remainingWorkMillis = margin * Math.max(workMillis, job.criticalPathMillis);
		double waitedMillis = this.nowMillis - job.receivedMillis;
		double objectiveMillis = job.route.objectiveMillis(margin * job.criticalPathMillis);
		double leftMillis = objectiveMillis - waitedMillis - OVERHEAD_MILLIS;
		return (leftMillis > 0) ? remainingWorkMillis / leftMillis : Double.POSITIVE_INFINITY;
	}

	/**
	 * Tells whether any endpoint, even a full one, is fast enough for a job.
	 * @param job the job
	 * @return whether the job can still meet its objective
	 */
	boolean canMeetObjective(DispatchedJob job) {
		return this.highestSpeed >= requiredSpeed(job, job.criticalPathMillis, 1);
	}

	/**
	 * Returns the share of the processors that is in use.
	 * @return a value from 0 to 1, 1 if there are no processors
	 */
	double utilization() {
		long total = this.capacity.cpuMillicores();
		long unused = 0;
		for (Candidate candidate : this.candidates) {
			unused += candidate.free.cpuMillicores();
		}
		return (total > 0) ? 1 - (double) unused / total : 1;
	}

	/**
	 * An endpoint and the room that is left on it in this pass.
	 */
	private static final class Candidate {

		/** Cost of a call to another failure domain, in steps of speed. */
		private static final double DISTANCE_COST = 0.3;

		/** Cost of an endpoint without free processors, in steps of speed. */
		private static final double UTILIZATION_COST = 0.6;

		/** Number of steps by which the cost grows while the speed grows by e. */
		private static final double SPEED_STEPS = 4;

		private final AgentView agent;

		private final double speed;

		private final double fixedCost;

		private Resources free;

		/** The part of the free room that this entry may use. */
		private Resources lent;

		Candidate(AgentView agent, String domain) {
			this.agent = agent;
			this.speed = agent.status.speed();
			double speedStep = Math.rint(SPEED_STEPS * Math.log(this.speed));
			this.fixedCost = speedStep + (agent.domain.equals(domain) ? 0 : DISTANCE_COST);
			this.free = agent.free();
			this.lent = agent.lent();
		}

		void take(Resources room) {
			this.free = this.free.minus(room);
			this.lent = this.lent.minus(room);
		}

		void giveBack(Resources room) {
			this.free = this.free.plus(room);
			this.lent = this.lent.plus(room);
		}

		/**
		 * Returns the cost of an endpoint that is fast enough. Slow endpoints are
		 * preferred, with speeds grouped in broad steps. Within a step, endpoints in the
		 * entry's own failure domain and endpoints with a low utilization are preferred.
		 * @return the cost, lower is better
		 */
		double cost() {
			double utilization = 1
					- (double) this.free.cpuMillicores() / Math.max(1, this.agent.status.capacity().cpuMillicores());
			return this.fixedCost + UTILIZATION_COST * utilization;
		}

	}

	/**
	 * The assignment of a task to an endpoint.
	 *
	 * @param task the task
	 * @param agent the agent of the endpoint
	 */
	record Assignment(DispatchedTask task, AgentView agent) {
	}

}
