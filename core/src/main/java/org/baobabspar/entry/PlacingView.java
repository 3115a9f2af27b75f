package org.baobabspar.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * What a policy sees of the agents during one pass over the queue.
 * <p>
 * Invariant: holds agents that may be given work only. Used on the control thread only.
 */
final class PlacingView {

	private static final double STALL_FACTOR = 3;

	private final List<AgentRecord> agents;

	private final ServiceModel model;

	private final SplittableRandom random;

	private final long now;

	private final Map<String, Integer> held = new HashMap<>();

	private String taskClass = "";

	private long contestedMillis = Long.MAX_VALUE;

	PlacingView(List<AgentRecord> agents, ServiceModel model, SplittableRandom random, long now) {
		this.agents = agents;
		this.model = model;
		this.random = random;
		this.now = now;
	}

	void forJob(JobRecord j) {
		this.taskClass = j.taskClass().name();
		this.contestedMillis = j.contestedMillis();
	}

	/**
	 * Return the agents that may be given tasks of the present job.
	 * @return agents that any higher claim on the job has fenced
	 */
	List<AgentRecord> agents() {
		if (this.contestedMillis == Long.MAX_VALUE) {
			return this.agents;
		}
		return this.agents.stream().filter((a) -> a.clearedMillis() <= this.contestedMillis).toList();
	}

	List<AgentRecord> free() {
		List<AgentRecord> r = new ArrayList<>();
		for (AgentRecord a : agents()) {
			if (freeCredits(a) > 0) {
				r.add(a);
			}
		}
		return r;
	}

	int freeCredits(AgentRecord a) {
		return a.freeCredits();
	}

	int freeCredits() {
		int n = 0;
		for (AgentRecord a : this.agents) {
			n += a.freeCredits();
		}
		return n;
	}

	int slots() {
		int n = 0;
		for (AgentRecord a : this.agents) {
			n += a.limit();
		}
		return n;
	}

	/**
	 * Return how long a task of the class is expected to take at an agent, with what the
	 * agent is behind its own pace.
	 * @param a the agent
	 * @return milliseconds
	 */
	double serviceMillis(AgentRecord a) {
		double pace = this.model.meanMillis() * a.slowness();
		double stall = Math.max(0, a.stalledMillis(this.now) - STALL_FACTOR * pace);
		return this.model.meanMillis(this.taskClass) * a.slowness() + stall;
	}

	/**
	 * Return how long until an agent without a free credit is expected to have one for
	 * the next task, behind those that are held for it already.
	 * @param a the agent
	 * @return milliseconds
	 */
	double waitMillis(AgentRecord a) {
		int ahead = this.held.getOrDefault(a.ref(), 0) + 1;
		return ahead * this.model.meanMillis() * a.slowness() / Math.max(1, a.inFlight());
	}

	void hold(AgentRecord a) {
		this.held.merge(a.ref(), 1, Integer::sum);
	}

	int random(int bound) {
		return this.random.nextInt(bound);
	}

}
