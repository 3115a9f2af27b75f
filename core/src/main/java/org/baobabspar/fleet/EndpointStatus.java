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
 * @param lent the part of {@code free} that the receiving entry may use, all of it if the
 * sender does not say
 */
public record EndpointStatus(String endpointId, String service, EndpointState state, Resources capacity, Resources free,
		List<String> labels, double speed, long lastStartSequence, Resources lent) {

	public EndpointStatus {
		Objects.requireNonNull(endpointId);
		Objects.requireNonNull(service);
		Objects.requireNonNull(state);
		Objects.requireNonNull(capacity);
		Objects.requireNonNull(free);
		labels = List.copyOf(labels);
		lent = (lent != null) ? lent : free;
	}

	/**
	 * Creates a status whose receiver may use all free room.
	 * @param endpointId id of the endpoint
	 * @param service the service
	 * @param state the state
	 * @param capacity total resources
	 * @param free free resources
	 * @param labels hardware kind and rack
	 * @param speed speed of the endpoint
	 * @param lastStartSequence sequence number of the last start that is included
	 */
	public EndpointStatus(String endpointId, String service, EndpointState state, Resources capacity, Resources free,
			List<String> labels, double speed, long lastStartSequence) {
		this(endpointId, service, state, capacity, free, labels, speed, lastStartSequence, free);
	}

	/**
	 * Returns a copy of this status with another state.
	 * @param newState the state of the copy
	 * @return the copy
	 */
	public EndpointStatus withState(EndpointState newState) {
		return new EndpointStatus(this.endpointId, this.service, newState, this.capacity, this.free, this.labels,
				this.speed, this.lastStartSequence, this.lent);
	}

	/**
	 * Returns a copy of this status that lends another amount.
	 * @param newLent the part of the free room that the receiver may use
	 * @return the copy
	 */
	public EndpointStatus withLent(Resources newLent) {
		return new EndpointStatus(this.endpointId, this.service, this.state, this.capacity, this.free, this.labels,
				this.speed, this.lastStartSequence, newLent);
	}

}
