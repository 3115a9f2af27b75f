package org.baobabspar.message;

import org.baobabspar.fleet.EndpointStatus;

/**
 * Asks an entry to extend the lease of its runs, and tells it how the endpoint stands.
 * Immutable.
 *
 * @param sentMillis the agent's clock
 * @param status its endpoint
 */
public record LeaseRequest(long sentMillis, EndpointStatus status) implements Message {
}
