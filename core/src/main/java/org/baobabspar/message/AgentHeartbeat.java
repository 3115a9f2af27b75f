package org.baobabspar.message;

import java.util.List;

import org.baobabspar.usage.UsageRecord;

/**
 * Heartbeat of an agent to an entry, sent when no other message has carried a timestamp
 * for some time and whenever the state of the agent changes. Immutable.
 *
 * @param state whether the agent accepts work
 * @param stampMillis reading of the agent's monotonic clock
 * @param limit maximum number of tasks that the entry may have at the agent
 * @param failuresInRow number of consecutive failed tasks
 * @param documentOffset log offset of the newest promotion known to the agent, or -1
 * @param usage cumulative usage counters that have changed
 */
public record AgentHeartbeat(AgentState state, long stampMillis, int limit, int failuresInRow, long documentOffset,
		List<UsageRecord> usage) implements Message {
}
