package org.baobabspar.daemon;

import java.util.List;
import java.util.Map;

import org.baobabspar.entry.AgentStatus;
import org.baobabspar.usage.UsageCount;

/**
 * Status of an entry for operators. Immutable.
 *
 * @param ready whether the load balancer may send submissions
 * @param documentVersion the version in force, 0 for none
 * @param waitingTasks tasks queued at this entry
 * @param liveJobs jobs without an answer yet
 * @param heldJobs jobs held, including ended ones
 * @param peers the other entries
 * @param agents the agents
 * @param usage the usage of each customer that agents have reported to this entry
 */
public record EntryStatus(boolean ready, long documentVersion, int waitingTasks, int liveJobs, int heldJobs,
		List<String> peers, List<AgentStatus> agents, Map<String, UsageCount> usage) {
}
