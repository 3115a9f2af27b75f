package org.baobabspar.message;

/**
 * First message of an entry on a link that it has opened to another entry. Immutable.
 *
 * @param entry who opens the link
 * @param stampMillis its monotonic clock
 */
public record PeerHello(EntryInfo entry, long stampMillis) implements Message {
}
