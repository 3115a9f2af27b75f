package org.baobabspar.message;

/**
 * Tells a leaving agent that the entry has received all it sent. Immutable.
 *
 * @param entryRef the entry
 */
public record GoodbyeAck(String entryRef) implements Message {
}
