package org.baobabspar.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.baobabspar.message.RunStart;

/**
 * Places the ready tasks of the jobs of an entry on endpoints, and declines the jobs that
 * wait in vain. Jobs go by priority, then by the time at which their answer is due.
 * <p>
 * Invariants: a job is declined only if none of its tasks may have started; a task is
 * dispatched only while it is ready. Not thread-safe; used on the control thread only.
 */
final class JobPlacer {

	/**
	 * Utilization of the processors up to which jobs are placed that will miss their
	 * objective.
	 */
	private static final double LATE_JOB_MAX_UTILIZATION = 0.7;

	/** Multiple of its objective after which the answer of a job is of no use. */
	private static final double USEFUL_OBJECTIVES = 3;

	private final String domain;

	private final AgentRegistry agents;

	private final DispatchOutbox outbox;

	private final JobDecliner decliner;

	JobPlacer(String domain, AgentRegistry agents, DispatchOutbox outbox, JobDecliner decliner) {
		this.domain = domain;
		this.agents = agents;
		this.outbox = outbox;
		this.decliner = decliner;
	}

	/**
	 * Places ready tasks on endpoints. Jobs that can meet their objective come first. A
	 * job that will miss it anyway gets only the room that they leave. A job whose
	 * deadline has passed gets none, since its caller may be at another entry.
	 * @param jobs all jobs of the entry
	 * @param nowMillis the current time
	 */
	void place(Collection<DispatchedJob> jobs, long nowMillis) {
		declineUselessClaims(jobs, nowMillis);
		List<DispatchedJob> placeable = jobs.stream()
			.filter((j) -> nowMillis < j.deadlineMillis && j.placeable())
			.sorted(Comparator.comparingInt((DispatchedJob j) -> j.route.priority())
				.thenComparingDouble((j) -> j.receivedMillis + j.objectiveMillis()))
			.toList();
		Map<String, EndpointSelector> selectors = new HashMap<>();
		Map<String, Integer> lowestPriorities = lowestPriorities(jobs);
		List<DispatchedJob> late = new ArrayList<>();
		for (DispatchedJob job : placeable) {
			EndpointSelector selector = selectors.computeIfAbsent(job.route.service(),
					(s) -> new EndpointSelector(this.agents.usable(job.route, nowMillis), this.domain, nowMillis));
			if (selector.empty()) {
				declineIfUseless(job, 1, "no_endpoint", nowMillis);
			}
			else if (job.mayHaveStarted() || selector.canMeetObjective(job)) {
				boolean goesFirst = job.route.priority() < lowestPriorities.get(job.route.service());
				place(job, selector, job.mayHaveStarted(), goesFirst, nowMillis);
			}
			else {
				late.add(job);
			}
		}
		late.forEach((job) -> placeLate(job, selectors.get(job.route.service()), nowMillis));
	}

	/**
	 * Declines the jobs that have waited for their claim until their answer would be of
	 * no use. Most of their callers have turned to the entry that holds the job.
	 * @param jobs all jobs of the entry
	 * @param nowMillis the current time
	 */
	private void declineUselessClaims(Collection<DispatchedJob> jobs, long nowMillis) {
		jobs.stream()
			.filter((j) -> j.awaitsClaim && !j.closed)
			.toList()
			.forEach((j) -> declineIfUseless(j, 1,
					this.agents.usable(j.route, nowMillis).isEmpty() ? "no_endpoint" : "claim_pending", nowMillis));
	}

	/**
	 * Returns the lowest priority of the open jobs of each service, as the highest value.
	 * @param jobs all jobs of the entry
	 * @return the priorities by service
	 */
	private static Map<String, Integer> lowestPriorities(Collection<DispatchedJob> jobs) {
		Map<String, Integer> priorities = new HashMap<>();
		for (DispatchedJob job : jobs) {
			if (!job.closed) {
				priorities.merge(job.route.service(), job.route.priority(), Math::max);
			}
		}
		return priorities;
	}

	/**
	 * Places a job that will miss its objective if the utilization is low. Otherwise it
	 * waits for as long as its answer may be of use, since a flood or the return of all
	 * callers after a restart passes within seconds.
	 * @param job the job
	 * @param selector selects the endpoints
	 * @param nowMillis the current time
	 */
	private void placeLate(DispatchedJob job, EndpointSelector selector, long nowMillis) {
		if (selector.utilization() <= LATE_JOB_MAX_UTILIZATION) {
			place(job, selector, true, false, nowMillis);
		}
		else {
			declineIfUseless(job, selector.highestSpeed(), "overload used=" + Math.round(100 * selector.utilization()),
					nowMillis);
		}
	}

	private void place(DispatchedJob job, EndpointSelector selector, boolean late, boolean goesFirst, long nowMillis) {
		List<EndpointSelector.Assignment> assignments = selector.select(job, late, goesFirst);
		for (EndpointSelector.Assignment assignment : assignments) {
			dispatch(assignment.task(), assignment.agent(), nowMillis);
		}
		if (!assignments.isEmpty()) {
			this.outbox.log("job=" + job.order.id() + " route=" + job.route.name() + " placed=" + describe(assignments)
					+ ((assignments.size() < job.tasks.size()) ? " part_of=" + job.tasks.size() : "") + " origin="
					+ job.origin + " age_ms=" + (nowMillis - job.receivedMillis) + " late=" + late + " predicted_ms="
					+ Math.round(job.criticalPathMillis));
		}
	}

	/**
	 * Declines a waiting job once its answer would be of no use even if it started now.
	 * @param job the job
	 * @param speed speed of the fastest endpoint
	 * @param reason why the job waits
	 * @param nowMillis the current time
	 */
	private void declineIfUseless(DispatchedJob job, double speed, String reason, long nowMillis) {
		double totalMillis = nowMillis - job.receivedMillis + job.criticalPathMillis / speed
				+ EndpointSelector.OVERHEAD_MILLIS;
		if (!job.mayHaveStarted() && totalMillis > USEFUL_OBJECTIVES * job.objectiveMillis()) {
			this.decliner.decline(job, reason, nowMillis);
		}
	}

	private static String describe(List<EndpointSelector.Assignment> assignments) {
		Map<String, Integer> tasksByAgent = new LinkedHashMap<>();
		assignments.forEach((a) -> tasksByAgent.merge(a.agent().name, 1, Integer::sum));
		return tasksByAgent.toString().replace(" ", "");
	}

	private void dispatch(DispatchedTask task, AgentView agent, long nowMillis) {
		task.job.markDispatched(task);
		task.agent = agent;
		if (task.previousRun != null && task.previousRun.explainsRestart()) {
			this.outbox.log("run=" + task.name + "#" + task.runNumber + " agent=" + agent.name + " restarted "
					+ task.previousRun.describe(nowMillis));
		}
		if (task.job.firstDispatchMillis == 0) {
			task.job.firstDispatchMillis = nowMillis;
		}
		long sequence = agent.addStart(task);
		long expectedMillis = Math.round(task.job.predictedMillis[task.stepIndex]);
		this.outbox.send(agent.link, new RunStart(sequence, task.runKey(), task.job.order.payload(),
				task.step.resources(), expectedMillis, agent.agentClockMillis));
	}

	/** Answers the callers of a job that is not placed. */
	@FunctionalInterface
	interface JobDecliner {

		/**
		 * Declines a job.
		 * @param job the job
		 * @param reason the reason given to its callers
		 * @param nowMillis the current time
		 */
		void decline(DispatchedJob job, String reason, long nowMillis);

	}

}
