package org.baobabspar.supervise;

import java.util.Objects;

/**
 * What an agent stores of its endpoint for use after a restart. The speed is stored
 * because a VM keeps its hardware: without it, the first tasks after a loss of all
 * processes would be placed as if all endpoints were equally fast. Immutable and safe for
 * any thread.
 *
 * @param report report of the endpoint's last incarnation
 * @param baselineSpeed long-term speed of the endpoint, 1 if unknown
 */
public record EndpointCheckpoint(EndpointReport report, double baselineSpeed) {

	/** Validates the components. */
	public EndpointCheckpoint {
		Objects.requireNonNull(report);
	}

}
