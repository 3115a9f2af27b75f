package org.baobabspar.fleet;

import java.util.List;
import java.util.Objects;

/**
 * What an agent tells an entry about its endpoint. Immutable and safe for any thread.
 *
 * @param endpointId the endpoint, empty if none is known
 * @param service the service that it belongs to
 * @param state whether it takes runs
 * @param capacity all of its room
 * @param free what is free after the starts that the agent has seen
 * @param labels its kind and its rack
 * @param speed work done in a millisecond against what was expected; 1 is as expected
 * @param lastStartSequence the last start of the receiving entry that is counted in free
 */
public record EndpointStatus(String endpointId, String service, EndpointState state, Resources capacity, Resources free,
		List<String> labels, double speed, long lastStartSequence) {

	/** Check the fields. */
	public EndpointStatus {
		Objects.requireNonNull(state);
		labels = List.copyOf(labels);
	}

	/**
	 * Give the same status with another state.
	 * @param other the state
	 * @return the status
	 */
	public EndpointStatus withState(EndpointState other) {
		return new EndpointStatus(this.endpointId, this.service, other, this.capacity, this.free, this.labels,
				this.speed, this.lastStartSequence);
	}

}
