package org.baobabspar.daemon;

import java.util.List;
import java.util.Map;

import org.baobabspar.entry.AgentStatus;
import org.baobabspar.usage.UsageCount;

/**
 * What an entry tells operators of itself. Immutable.
 *
 * @param ready whether the balancer may send submissions
 * @param documentVersion the version in force, 0 for none
 * @param waitingTasks tasks waiting here
 * @param liveJobs jobs that are not answered yet
 * @param heldJobs jobs held, ended ones included
 * @param peers the other entries
 * @param agents the agents
 * @param usage the use of each party, as far as this entry has heard
 */
public record EntryStatus(boolean ready, long documentVersion, int waitingTasks, int liveJobs, int heldJobs,
		List<String> peers, List<AgentStatus> agents, Map<String, UsageCount> usage) {
}
