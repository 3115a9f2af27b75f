package org.baobabspar.message;

/**
 * Renews the lease of an entry's runs, counted from the time of the agent's request.
 * Immutable.
 *
 * @param sentMillis reading of the agent's clock, copied from the {@link LeaseRequest}
 * @param endsSeen sequence number of the last {@link RunEnded} that the entry has
 * processed
 * @param clockMillis reading of the entry's clock
 */
public record LeaseGrant(long sentMillis, long endsSeen, long clockMillis) implements Message {
}
