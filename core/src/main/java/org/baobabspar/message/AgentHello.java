package org.baobabspar.message;

/**
 * First message of an agent on a link to an entry. Sent once for each link. Immutable.
 *
 * @param agent who announces itself
 * @param state whether it takes work
 * @param stampMillis the agent's monotonic clock
 * @param limit how many tasks the entry may have at the agent
 */
public record AgentHello(AgentInfo agent, AgentState state, long stampMillis, int limit) implements Message {
}
