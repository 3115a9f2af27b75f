package org.baobabspar.message;

/**
 * Tells a draining agent that the entry gives it no new work. Immutable.
 *
 * @param entryRef the entry
 */
public record DrainAck(String entryRef) implements Message {
}
