package org.baobabspar.fleet;

import java.util.List;
import java.util.Objects;

/**
 * Status of an endpoint, as reported by its agent to an entry. Immutable and thread-safe.
 *
 * @param endpointId id of the endpoint, empty if none is known
 * @param service the service that the endpoint belongs to
 * @param state whether the endpoint accepts new runs
 * @param capacity total resources of the endpoint
 * @param free resources that are free once the starts up to {@code lastStartSequence} are
 * accounted for
 * @param labels hardware kind and rack of the endpoint
 * @param speed ratio of the work done per millisecond to the expected work; 1 is nominal
 * @param lastStartSequence sequence number of the last start request from the receiving
 * entry that is included in {@code free}
 */
public record EndpointStatus(String endpointId, String service, EndpointState state, Resources capacity, Resources free,
		List<String> labels, double speed, long lastStartSequence) {

	public EndpointStatus {
		Objects.requireNonNull(endpointId);
		Objects.requireNonNull(service);
		Objects.requireNonNull(state);
		Objects.requireNonNull(capacity);
		Objects.requireNonNull(free);
		labels = List.copyOf(labels);
	}

	/**
	 * Returns a copy of this status with another state.
	 * @param newState the state of the copy
	 * @return the copy
	 */
	public EndpointStatus withState(EndpointState newState) {
		return new EndpointStatus(this.endpointId, this.service, newState, this.capacity, this.free, this.labels,
				this.speed, this.lastStartSequence);
	}

}
