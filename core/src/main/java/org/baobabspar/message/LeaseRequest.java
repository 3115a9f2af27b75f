package org.baobabspar.message;

import java.util.Objects;

import org.baobabspar.fleet.EndpointStatus;

/**
 * Asks an entry to renew the lease of its runs and reports the status of the endpoint.
 * Immutable.
 *
 * @param sentMillis reading of the agent's clock
 * @param status status of the agent's endpoint
 */
public record LeaseRequest(long sentMillis, EndpointStatus status) implements Message {

	/** Validates the components. */
	public LeaseRequest {
		Objects.requireNonNull(status);
	}

}
