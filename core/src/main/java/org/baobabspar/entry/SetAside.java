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
final class SetAside {

	private static final int FAILURES_IN_ROW = 3;

	private static final long MIN_BACKOFF_MILLIS = 1_000;

	private static final long MAX_BACKOFF_MILLIS = 30_000;

	private SetAside() {
	}

	/**
	 * Choose the agents that are set aside now.
	 * @param agents all usable agents
	 * @param fraction the largest part that may be set aside
	 * @return references of the agents
	 */
	static Set<String> choose(List<AgentRecord> agents, double fraction) {
		int most = (int) Math.floor(agents.size() * fraction);
		Set<String> r = new HashSet<>();
		agents.stream()
			.filter((a) -> a.failuresInRow() >= FAILURES_IN_ROW)
			.sorted(Comparator.comparingInt((AgentRecord a) -> -a.failuresInRow()))
			.limit(most)
			.forEach((a) -> r.add(a.ref()));
		return r;
	}

	/**
	 * Tell whether an agent that is set aside is due for a trial task.
	 * @param a the agent
	 * @param now monotonic milliseconds
	 * @return {@code true} if it has no task and its back-off has passed
	 */
	static boolean probeDue(AgentRecord a, long now) {
		return a.inFlight() == 0 && now >= a.probeMillis();
	}

	/**
	 * Note a failed task.
	 * @param a the agent
	 * @param now monotonic milliseconds
	 */
	static void failed(AgentRecord a, long now) {
		if (a.failuresInRow() >= FAILURES_IN_ROW) {
			long backoff = Math.min(MAX_BACKOFF_MILLIS, Math.max(MIN_BACKOFF_MILLIS, 2 * a.backoffMillis()));
			a.setAside(now + backoff, backoff);
		}
	}

	/**
	 * Note a completed task.
	 * @param a the agent
	 */
	static void succeeded(AgentRecord a) {
		a.setAside(0, 0);
	}

}
