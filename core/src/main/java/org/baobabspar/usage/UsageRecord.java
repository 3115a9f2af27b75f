package org.baobabspar.usage;

/**
 * One cumulative counter of one agent incarnation. Immutable.
 *
 * @param agentRef the agent and its incarnation
 * @param key what the counter is kept by
 * @param count the cumulative use
 */
public record UsageRecord(String agentRef, UsageKey key, UsageCount count) {
}
