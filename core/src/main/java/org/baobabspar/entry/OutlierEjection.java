package org.baobabspar.entry;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Ejects agents whose tasks fail repeatedly. An agent that fails every task immediately
 * appears idle, so its free slots would attract all work. It is ejected after
 * {@value #EJECTION_FAILURES} consecutive failures, probed with one task at a time after
 * an exponentially increasing backoff, and reinstated on its first success. The ejected
 * fraction of the fleet is bounded, and the agents with the most failures are ejected
 * first, because failures spread over the whole fleet are caused by the tasks rather than
 * by the agents.
 * <p>
 * Not thread-safe; used on the control thread only.
 */
final class OutlierEjection {

	private static final int EJECTION_FAILURES = 3;

	private static final long MIN_BACKOFF_MILLIS = 1_000;

	private static final long MAX_BACKOFF_MILLIS = 30_000;

	private OutlierEjection() {
	}

	/**
	 * Selects the agents that are currently ejected.
	 * @param agents all usable agents
	 * @param maxFraction the maximum fraction of agents to eject
	 * @return the references of the ejected agents
	 */
	static Set<String> selectEjected(List<AgentRecord> agents, double maxFraction) {
		int maxEjected = (int) Math.floor(agents.size() * maxFraction);
		Set<String> ejected = new HashSet<>();
		agents.stream()
			.filter((a) -> a.failuresInRow() >= EJECTION_FAILURES)
			.sorted(Comparator.comparingInt((AgentRecord a) -> -a.failuresInRow()))
			.limit(maxEjected)
			.forEach((a) -> ejected.add(a.ref()));
		return ejected;
	}

	/**
	 * Returns whether an ejected agent is due for a probe task.
	 * @param agent the agent
	 * @param now monotonic milliseconds
	 * @return {@code true} if it has no task and its backoff has elapsed
	 */
	static boolean probeDue(AgentRecord agent, long now) {
		return agent.inFlight() == 0 && now >= agent.nextProbeMillis();
	}

	/**
	 * Records a failed task and schedules the next probe of the agent.
	 * @param agent the agent
	 * @param now monotonic milliseconds
	 */
	static void recordFailure(AgentRecord agent, long now) {
		if (agent.failuresInRow() >= EJECTION_FAILURES) {
			long backoffMillis = Math.min(MAX_BACKOFF_MILLIS,
					Math.max(MIN_BACKOFF_MILLIS, 2 * agent.probeBackoffMillis()));
			agent.scheduleProbe(now + backoffMillis, backoffMillis);
		}
	}

	/**
	 * Records a completed task, which resets the backoff of the agent.
	 * @param agent the agent
	 */
	static void recordSuccess(AgentRecord agent) {
		agent.scheduleProbe(0, 0);
	}

}
