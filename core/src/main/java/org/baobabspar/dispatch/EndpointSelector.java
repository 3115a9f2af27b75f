package org.baobabspar.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * {@link #WIDE_JOB_SHARE} of the capacity or the job may have started already.
 * <p>
 * An instance holds the free room during one placement pass. Not thread-safe; used on the
 * control thread only.
 */
final class EndpointSelector {

	/** Time that messages, starts and the answer take in addition to the work. */
	static final double OVERHEAD_MILLIS = 12;

	/**
	 * Share of the capacity above which the ready tasks of a job are started one by one
	 * as room becomes free, instead of all together.
	 */
	private static final double WIDE_JOB_SHARE = 0.25;

	private final List<AgentView> agents;

	private final String domain;

	private final long nowMillis;

	private final Map<AgentView, Resources> freeRoom = new HashMap<>();

	private Resources capacity = Resources.NONE;

	EndpointSelector(List<AgentView> agents, String domain, long nowMillis) {
		this.agents = agents;
		this.domain = domain;
		this.nowMillis = nowMillis;
		for (AgentView agent : agents) {
			this.freeRoom.put(agent, agent.free());
			this.capacity = this.capacity.plus(agent.status.capacity());
		}
	}

	boolean empty() {
		return this.agents.isEmpty();
	}

	/**
	 * Selects endpoints for the ready tasks of a job and takes up their free room.
	 * @param job the job
	 * @param late whether endpoints are accepted on which the job misses its objective
	 * @return the assignments, none if the job has to wait
	 */
	List<Assignment> select(DispatchedJob job, boolean late) {
		List<DispatchedTask> ready = job.readyTasks();
		List<Assignment> assignments = new ArrayList<>();
		for (DispatchedTask task : ready) {
			Optional<AgentView> agent = select(task, late, assignments);
			if (agent.isEmpty()) {
				break;
			}
			assignments.add(new Assignment(task, agent.get()));
			this.freeRoom.merge(agent.get(), task.step.resources(), Resources::minus);
		}
		if (assignments.size() < ready.size() && !wide(ready) && !job.mayHaveStarted()) {
			assignments.forEach((a) -> this.freeRoom.merge(a.agent(), a.task().step.resources(), Resources::plus));
			return List.of();
		}
		return assignments;
	}

	private boolean wide(List<DispatchedTask> ready) {
		Resources total = ready.get(0).step.resources().times(ready.size());
		return total.cpuMillicores() > WIDE_JOB_SHARE * this.capacity.cpuMillicores()
				|| total.memoryMegabytes() > WIDE_JOB_SHARE * this.capacity.memoryMegabytes();
	}

	private Optional<AgentView> select(DispatchedTask task, boolean late, List<Assignment> assignments) {
		double workMillis = task.job.predictedMillis[task.stepIndex];
		List<AgentView> candidates = this.agents.stream().filter((a) -> fits(task, a, assignments)).toList();
		Optional<AgentView> inTime = candidates.stream()
			.filter((a) -> meetsObjective(task.job, workMillis, a))
			.min(Comparator.comparingDouble((a) -> cost(a)));
		if (inTime.isPresent() || !late) {
			return inTime;
		}
		return candidates.stream().max(Comparator.comparingDouble((a) -> a.status.speed()));
	}

	/**
	 * Returns the cost of an endpoint that is fast enough. Slow endpoints are preferred,
	 * with speeds grouped in broad steps. Within a step, endpoints in the entry's own
	 * failure domain and endpoints with a low utilization are preferred.
	 * @param agent the agent of the endpoint
	 * @return the cost, lower is better
	 */
	private double cost(AgentView agent) {
		double speedStep = Math.rint(4 * Math.log(agent.status.speed()));
		double distance = agent.domain.equals(this.domain) ? 0 : 0.3;
		double utilization = 1 - (double) this.freeRoom.get(agent).cpuMillicores()
				/ Math.max(1, agent.status.capacity().cpuMillicores());
		return speedStep + distance + 0.6 * utilization;
	}

	private boolean fits(DispatchedTask task, AgentView agent, List<Assignment> assignments) {
		if (!task.step.resources().fitsInto(this.freeRoom.get(agent))) {
			return false;
		}
		if (!task.step.requiredLabel().isEmpty() && !agent.status.labels().contains(task.step.requiredLabel())) {
			return false;
		}
		if (task.failedAgents.contains(agent.name) && task.failedAgents.size() < this.agents.size()) {
			return false;
		}
		return task.step.maxPerEndpoint() == 0
				|| tasksOfSameStep(task, agent, assignments) < task.step.maxPerEndpoint();
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

	private boolean meetsObjective(DispatchedJob job, double workMillis, AgentView agent) {
		double waitedMillis = this.nowMillis - job.receivedMillis;
		double remainingMillis = Math.max(0, job.criticalPathMillis - workMillis);
		double totalMillis = waitedMillis + (workMillis + remainingMillis) / agent.status.speed() + OVERHEAD_MILLIS;
		return totalMillis <= job.objectiveMillis();
	}

	/**
	 * Tells whether any endpoint, even a full one, is fast enough for a job.
	 * @param job the job
	 * @return whether the job can still meet its objective
	 */
	boolean canMeetObjective(DispatchedJob job) {
		return this.agents.stream().anyMatch((a) -> meetsObjective(job, job.criticalPathMillis, a));
	}

	/**
	 * Returns the share of the processors that is in use.
	 * @return a value from 0 to 1, 1 if there are no processors
	 */
	double utilization() {
		long total = this.capacity.cpuMillicores();
		long unused = this.freeRoom.values().stream().mapToLong(Resources::cpuMillicores).sum();
		return (total > 0) ? 1 - (double) unused / total : 1;
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
