package org.baobabspar.message;

/**
 * Confirms to an agent that shuts down that the entry has received all its messages.
 * Immutable.
 *
 * @param entryRef id and incarnation of the entry
 */
public record GoodbyeAck(String entryRef) implements Message {
}
