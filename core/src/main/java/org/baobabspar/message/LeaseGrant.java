package org.baobabspar.message;

/**
 * Renews the lease of an entry's runs, counted from the time of the agent's request.
 * Immutable.
 *
 * @param sentMillis reading of the agent's clock, copied from the {@link LeaseRequest}
 * @param endsSeen sequence number of the last {@link RunEnded} that the entry has
 * processed
 */
public record LeaseGrant(long sentMillis, long endsSeen) implements Message {
}
