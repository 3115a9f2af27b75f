package org.baobabspar.message;

/**
 * Last message of an agent that leaves. All its tasks have ended and every result was
 * sent before. Immutable.
 *
 * @param stampMillis the agent's monotonic clock
 */
public record AgentGoodbye(long stampMillis) implements Message {
}
