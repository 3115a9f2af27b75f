package org.baobabspar.usage;

/**
 * A cumulative usage counter of one agent incarnation. Immutable.
 *
 * @param agentRef id and incarnation of the agent
 * @param key key of the counter
 * @param count cumulative usage
 */
public record UsageRecord(String agentRef, UsageKey key, UsageCount count) {
}
