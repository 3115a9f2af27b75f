package org.baobabspar.entry;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Judges agents by outcomes. A worker that fails everything at once looks idle, so its
 * free slots would draw all work; it is set aside after a few failures in a row, tried
 * with one task at a time after a back-off that doubles, and taken back at its first
 * success. Only a bounded part of the fleet may be set aside, the worst first, since
 * failures that are spread over the fleet are the fault of the tasks.
 * <p>
 * Used on the control thread only.
 */
final class OutlierEjection {

	private static final int EJECTION_FAILURES = 3;

	private static final long MIN_BACKOFF_MILLIS = 1_000;

	private static final long MAX_BACKOFF_MILLIS = 30_000;

	private OutlierEjection() {
	}

	/**
	 * Choose the agents that are set aside now.
	 * @param agents all usable agents
	 * @param maxFraction the largest part that may be set aside
	 * @return references of the agents
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
	 * Tell whether an agent that is set aside is due for a trial task.
	 * @param agent the agent
	 * @param now monotonic milliseconds
	 * @return {@code true} if it has no task and its back-off has passed
	 */
	static boolean probeDue(AgentRecord agent, long now) {
		return agent.inFlight() == 0 && now >= agent.nextProbeMillis();
	}

	/**
	 * Note a failed task.
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
	 * Note a completed task.
	 * @param agent the agent
	 */
	static void recordSuccess(AgentRecord agent) {
		agent.scheduleProbe(0, 0);
	}

}
