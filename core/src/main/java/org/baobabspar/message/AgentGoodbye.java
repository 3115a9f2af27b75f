package org.baobabspar.message;

/**
 * Last message of an agent that shuts down, sent after all its tasks have ended and all
 * results were sent. Immutable.
 *
 * @param stampMillis reading of the agent's monotonic clock
 */
public record AgentGoodbye(long stampMillis) implements Message {
}
