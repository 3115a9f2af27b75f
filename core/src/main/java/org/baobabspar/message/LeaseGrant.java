package org.baobabspar.message;

/**
 * Extends the lease of an entry's runs, counted from when the agent asked. Immutable.
 *
 * @param sentMillis the agent's clock, from {@link LeaseRequest}
 * @param endsSeen the last {@link RunEnded} that the entry has taken in
 */
public record LeaseGrant(long sentMillis, long endsSeen) implements Message {
}
