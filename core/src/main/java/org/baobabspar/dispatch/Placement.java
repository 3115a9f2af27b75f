package org.baobabspar.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.baobabspar.fleet.Resources;

/**
 * Chooses endpoints for the due tasks of a job. A job is answered with its last task, and
 * its objective grows with its work, so that short tasks are in time on slow endpoints
 * while long ones are not: a task goes to the slowest endpoint on which it is still in
 * time. Example: with an objective of 1.6 times the work and 60 ms, a task of 86 ms takes
 * 143 ms at speed 0.6 and has 197 ms; one of 1286 ms takes 2143 ms and has 2117 ms, so it
 * goes to speed 1. Tasks start together or not at all, unless they are too many to. Used
 * on the control thread only, for one decision.
 */
final class Placement {

	/** Time of messages, starts and the answer, beside the work. */
	static final double OVERHEAD_MILLIS = 12;

	/** A job wider than this share of the room starts as room comes. */
	private static final double WIDE_SHARE = 0.25;

	private final List<AgentView> agents;

	private final String domain;

	private final long nowMillis;

	private final Map<AgentView, Resources> free = new HashMap<>();

	private Resources capacity = Resources.NONE;

	Placement(List<AgentView> agents, String domain, long nowMillis) {
		this.agents = agents;
		this.domain = domain;
		this.nowMillis = nowMillis;
		for (AgentView a : agents) {
			this.free.put(a, a.free());
			this.capacity = this.capacity.plus(a.status.capacity());
		}
	}

	boolean empty() {
		return this.agents.isEmpty();
	}

	/**
	 * Choose endpoints.
	 * @param job the job
	 * @param late whether endpoints are good on which the job will be late
	 * @return the choices, none if the job has to wait
	 */
	List<Choice> choose(DispatchedJob job, boolean late) {
		List<PlacedTask> due = job.dueTasks();
		List<Choice> choices = new ArrayList<>();
		for (PlacedTask t : due) {
			Optional<AgentView> a = choose(t, late, choices);
			if (a.isEmpty()) {
				break;
			}
			choices.add(new Choice(t, a.get()));
			this.free.merge(a.get(), t.spec.resources(), Resources::minus);
		}
		if (choices.size() < due.size() && !wide(due) && !job.mayHaveBegun()) {
			choices.forEach((c) -> this.free.merge(c.agent(), c.task().spec.resources(), Resources::plus));
			return List.of();
		}
		return choices;
	}

	private boolean wide(List<PlacedTask> due) {
		Resources all = due.get(0).spec.resources().times(due.size());
		return all.cpuMillicores() > WIDE_SHARE * this.capacity.cpuMillicores()
				|| all.memoryMegabytes() > WIDE_SHARE * this.capacity.memoryMegabytes();
	}

	private Optional<AgentView> choose(PlacedTask t, boolean late, List<Choice> made) {
		double workMillis = t.job.predictedMillis[t.step];
		List<AgentView> fit = this.agents.stream().filter((a) -> fits(t, a, made)).toList();
		Optional<AgentView> inTime = fit.stream()
			.filter((a) -> inTime(t.job, workMillis, a))
			.min(Comparator.comparingDouble((a) -> cost(a)));
		if (inTime.isPresent() || !late) {
			return inTime;
		}
		return fit.stream().max(Comparator.comparingDouble((a) -> a.status.speed()));
	}

	/**
	 * Rank endpoints that are fast enough: slow ones first, in broad steps, then those in
	 * the entry's own failure domain, then the emptiest.
	 * @param a the agent
	 * @return lower is better
	 */
	private double cost(AgentView a) {
		double speedStep = Math.rint(4 * Math.log(a.status.speed()));
		double far = a.domain.equals(this.domain) ? 0 : 0.3;
		double used = 1 - (double) this.free.get(a).cpuMillicores() / Math.max(1, a.status.capacity().cpuMillicores());
		return speedStep + far + 0.6 * used;
	}

	private boolean fits(PlacedTask t, AgentView a, List<Choice> made) {
		if (!t.spec.resources().fitsInto(this.free.get(a))) {
			return false;
		}
		if (!t.spec.requiredLabel().isEmpty() && !a.status.labels().contains(t.spec.requiredLabel())) {
			return false;
		}
		if (t.failedAt.contains(a.name) && t.failedAt.size() < this.agents.size()) {
			return false;
		}
		return t.spec.maxPerEndpoint() == 0 || beside(t, a, made) < t.spec.maxPerEndpoint();
	}

	private long beside(PlacedTask t, AgentView a, List<Choice> made) {
		long ordered = a.ordered.values().stream().filter((o) -> o.job == t.job && o.step == t.step).count();
		return ordered + made.stream().filter((c) -> c.agent() == a && c.task().step == t.step).count();
	}

	private boolean inTime(DispatchedJob job, double workMillis, AgentView a) {
		double waited = this.nowMillis - job.receivedMillis;
		double rest = Math.max(0, job.chainMillis - workMillis);
		double millis = waited + (workMillis + rest) / a.status.speed() + OVERHEAD_MILLIS;
		return millis <= job.objectiveMillis();
	}

	/**
	 * Tell whether any endpoint, even a full one, is fast enough.
	 * @param job the job
	 * @return whether waiting for room makes sense
	 */
	boolean canBeInTime(DispatchedJob job) {
		return this.agents.stream().anyMatch((a) -> inTime(job, job.chainMillis, a));
	}

	/**
	 * Give the share of the processors in use.
	 * @return 0 to 1, 1 if there are none
	 */
	double used() {
		long all = this.capacity.cpuMillicores();
		long unused = this.free.values().stream().mapToLong(Resources::cpuMillicores).sum();
		return (all > 0) ? 1 - (double) unused / all : 1;
	}

	/**
	 * An endpoint for a task.
	 *
	 * @param task the task
	 * @param agent the agent of the endpoint
	 */
	record Choice(PlacedTask task, AgentView agent) {
	}

}
