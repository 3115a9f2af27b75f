package org.baobabspar.supervise;

import java.util.Objects;

/**
 * What a restarted agent has to know of its endpoint. The speed is kept since a VM keeps
 * its hardware: without it the first tasks after a loss of all processes would be placed
 * as if all endpoints were alike. Immutable and safe for any thread.
 *
 * @param report the endpoint's last lifetime
 * @param baselineSpeed its usual speed, 1 if that is not known
 */
public record EndpointCheckpoint(EndpointReport report, double baselineSpeed) {

	/** Check the fields. */
	public EndpointCheckpoint {
		Objects.requireNonNull(report);
	}

}
