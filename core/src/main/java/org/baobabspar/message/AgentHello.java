package org.baobabspar.message;

/**
 * First message of an agent on a connection to an entry, sent once per connection.
 * Immutable.
 *
 * @param agent the agent
 * @param state whether the agent accepts work
 * @param stampMillis reading of the agent's monotonic clock
 * @param limit maximum number of tasks that the entry may have at the agent
 */
public record AgentHello(AgentInfo agent, AgentState state, long stampMillis, int limit) implements Message {
}
