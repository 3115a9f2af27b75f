package org.baobabspar.supervise;

import java.util.List;
import java.util.Objects;

import org.baobabspar.fleet.Resources;

/**
 * The state that an endpoint reports about itself. Immutable and safe for any thread.
 *
 * @param endpointId id of the endpoint, which a later incarnation may use again
 * @param bornMillis start of this incarnation in milliseconds since 1970, which
 * identifies it
 * @param sequence increases with each report of an incarnation
 * @param service the service that the endpoint belongs to
 * @param capacity total room of the endpoint
 * @param labels kind and rack of the endpoint
 * @param draining whether the endpoint is shutting down
 */
public record EndpointReport(String endpointId, long bornMillis, long sequence, String service, Resources capacity,
		List<String> labels, boolean draining) {

	/** Validates the components and copies the labels. */
	public EndpointReport {
		Objects.requireNonNull(endpointId);
		Objects.requireNonNull(service);
		Objects.requireNonNull(capacity);
		labels = List.copyOf(labels);
	}

}
