package org.baobabspar.message;

/**
 * First message of an entry on a connection that it opened to another entry. Immutable.
 *
 * @param entry the sender
 * @param stampMillis reading of the sender's monotonic clock
 */
public record PeerHello(EntryInfo entry, long stampMillis) implements Message {
}
