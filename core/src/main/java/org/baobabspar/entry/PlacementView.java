package org.baobabspar.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The agents as a policy sees them during one pass over the queue.
 * <p>
 * Invariant: contains only agents that may receive tasks. Not thread-safe; used on the
 * control thread only.
 */
final class PlacementView {

	private static final double STALL_TOLERANCE_FACTOR = 3;

	private final List<AgentRecord> agents;

	private final ServiceTimeModel serviceTimes;

	private final SplittableRandom random;

	private final long now;

	private final Map<String, Integer> reservedTasks = new HashMap<>();

	private String taskClass = "";

	private long contestedSinceMillis = Long.MAX_VALUE;

	PlacementView(List<AgentRecord> agents, ServiceTimeModel serviceTimes, SplittableRandom random, long now) {
		this.agents = agents;
		this.serviceTimes = serviceTimes;
		this.random = random;
		this.now = now;
	}

	void selectJob(JobRecord job) {
		this.taskClass = job.taskClass().name();
		this.contestedSinceMillis = job.contestedSinceMillis();
	}

	/**
	 * Returns the agents that may receive tasks of the selected job.
	 * @return the agents that any higher claim on the job has fenced
	 */
	List<AgentRecord> agents() {
		if (this.contestedSinceMillis == Long.MAX_VALUE) {
			return this.agents;
		}
		return this.agents.stream().filter((a) -> a.knownToAllSinceMillis() <= this.contestedSinceMillis).toList();
	}

	List<AgentRecord> agentsWithCredit() {
		List<AgentRecord> available = new ArrayList<>();
		for (AgentRecord agent : agents()) {
			if (freeCredits(agent) > 0) {
				available.add(agent);
			}
		}
		return available;
	}

	int freeCredits(AgentRecord agent) {
		return agent.freeCredits();
	}

	int freeCredits() {
		int total = 0;
		for (AgentRecord agent : this.agents) {
			total += agent.freeCredits();
		}
		return total;
	}

	int slots() {
		int total = 0;
		for (AgentRecord agent : this.agents) {
			total += agent.limit();
		}
		return total;
	}

	/**
	 * Returns the expected service time of a task of the selected job's class on an
	 * agent, plus the time by which the agent is overdue with its outstanding tasks.
	 * @param agent the agent
	 * @return milliseconds
	 */
	double serviceMillis(AgentRecord agent) {
		double averageMillis = this.serviceTimes.meanMillis() * agent.slowdown();
		double excessStallMillis = Math.max(0, agent.stalledMillis(this.now) - STALL_TOLERANCE_FACTOR * averageMillis);
		return this.serviceTimes.meanMillis(this.taskClass) * agent.slowdown() + excessStallMillis;
	}

	/**
	 * Returns the expected time until an agent without a free credit has one for the next
	 * task, behind the tasks that it is already reserved for.
	 * @param agent the agent
	 * @return milliseconds
	 */
	double waitMillis(AgentRecord agent) {
		int ahead = this.reservedTasks.getOrDefault(agent.ref(), 0) + 1;
		return ahead * this.serviceTimes.meanMillis() * agent.slowdown() / Math.max(1, agent.inFlight());
	}

	void reserve(AgentRecord agent) {
		this.reservedTasks.merge(agent.ref(), 1, Integer::sum);
	}

	int randomIndex(int bound) {
		return this.random.nextInt(bound);
	}

}
