package org.baobabspar.message;

/**
 * Last message of an entry that shuts down: it holds no jobs and starts no more tasks.
 * Immutable.
 *
 * @param entryRef id and incarnation of the sender
 */
public record PeerGoodbye(String entryRef) implements Message {
}
