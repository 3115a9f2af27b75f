package org.baobabspar.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.baobabspar.fleet.RunKey;

/**
 * Runs that agents list although this entry has given them up. Example: an agent was
 * counted as lost, its tasks are pending again, and then it links again and still
 * executes them.
 * <p>
 * Invariant: a task with an unwanted run is not dispatched, since its runs would overlap.
 * Not thread-safe; used on the control thread only.
 */
final class UnwantedRuns {

	private final Map<AgentView, Set<RunKey>> runsByAgent = new HashMap<>();

	/** Names of the tasks of all unwanted runs. */
	private Set<String> tasks = Set.of();

	/**
	 * Replaces the unwanted runs of an agent with those of a new list.
	 * @param agent the agent
	 * @param runs the unwanted runs, empty if there are none
	 */
	void replace(AgentView agent, Set<RunKey> runs) {
		if (runs.isEmpty()) {
			removeAll(agent);
		}
		else {
			this.runsByAgent.put(agent, new HashSet<>(runs));
			collectTasks();
		}
	}

	/**
	 * Removes a run whose end the agent has reported.
	 * @param agent the agent
	 * @param run the run
	 */
	void remove(AgentView agent, RunKey run) {
		Set<RunKey> runs = this.runsByAgent.get(agent);
		if (runs != null && runs.remove(run)) {
			collectTasks();
		}
	}

	/**
	 * Removes the runs of an agent, which no longer exist.
	 * @param agent the agent
	 */
	void removeAll(AgentView agent) {
		if (this.runsByAgent.remove(agent) != null) {
			collectTasks();
		}
	}

	private void collectTasks() {
		this.tasks = this.runsByAgent.values()
			.stream()
			.flatMap(Set::stream)
			.map(RunKey::task)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Tells whether a task has an unwanted run.
	 * @param task the name of the task
	 * @return whether an agent has listed an unwanted run and not reported its end
	 */
	boolean includesTask(String task) {
		return this.tasks.contains(task);
	}

}
