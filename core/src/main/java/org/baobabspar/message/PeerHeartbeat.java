package org.baobabspar.message;

/**
 * Heartbeat between entries, sent by the entry that opened the connection. Immutable.
 *
 * @param stampMillis reading of the sender's monotonic clock
 */
public record PeerHeartbeat(long stampMillis) implements Message {
}
