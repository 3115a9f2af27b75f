package org.baobabspar.supervise;

import java.util.List;
import java.util.Objects;

import org.baobabspar.fleet.Resources;

/**
 * What an endpoint says of itself. Immutable and safe for any thread.
 *
 * @param endpointId its id, which a later lifetime may use again
 * @param bornMillis start of this lifetime, in milliseconds since 1970
 * @param sequence rises with each report of a lifetime
 * @param service the service that it belongs to
 * @param capacity its room
 * @param labels its kind and its rack
 * @param draining whether it is leaving
 */
public record EndpointReport(String endpointId, long bornMillis, long sequence, String service, Resources capacity,
		List<String> labels, boolean draining) {

	/** Check the fields. */
	public EndpointReport {
		Objects.requireNonNull(endpointId);
		Objects.requireNonNull(service);
		Objects.requireNonNull(capacity);
		labels = List.copyOf(labels);
	}

}
