package org.baobabspar.message;

/**
 * Sent over a link between entries by the one that opened it. Immutable.
 *
 * @param stampMillis the sender's monotonic clock
 */
public record PeerHeartbeat(long stampMillis) implements Message {
}
