package org.baobabspar.message;

/**
 * Confirms to a draining agent that the entry dispatches no more tasks to it. Immutable.
 *
 * @param entryRef id and incarnation of the entry
 */
public record DrainAck(String entryRef) implements Message {
}
