package org.baobabspar.message;

/**
 * Last message of an entry that leaves: it holds no job and starts nothing more.
 * Immutable.
 *
 * @param entryRef who leaves
 */
public record PeerGoodbye(String entryRef) implements Message {
}
