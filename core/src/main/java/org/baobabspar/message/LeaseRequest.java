package org.baobabspar.message;

import java.util.Objects;

import org.baobabspar.fleet.EndpointStatus;

/**
 * Asks an entry to renew the lease of its runs and reports the status of the endpoint.
 * Immutable.
 *
 * @param sentMillis reading of the agent's clock
 * @param status status of the agent's endpoint
 * @param entryClockMillis the last reading of the entry's clock that the agent had
 * received, so that the entry knows a time before which the request was not sent
 */
public record LeaseRequest(long sentMillis, EndpointStatus status, long entryClockMillis) implements Message {

	/** Validates the components. */
	public LeaseRequest {
		Objects.requireNonNull(status);
	}

}
