package org.baobabspar.message;

import java.util.List;

import org.baobabspar.usage.UsageRecord;

/**
 * Sent by an agent to each entry when nothing else has carried its stamp for a while, and
 * whenever its state changes. Immutable.
 *
 * @param state whether it takes work
 * @param stampMillis the agent's monotonic clock
 * @param limit how many tasks the entry may have at the agent
 * @param failuresInRow tasks that failed since the last success
 * @param documentOffset offset of the newest promotion it knows, or -1
 * @param usage cumulative counters that changed
 */
public record AgentHeartbeat(AgentState state, long stampMillis, int limit, int failuresInRow, long documentOffset,
		List<UsageRecord> usage) implements Message {
}
