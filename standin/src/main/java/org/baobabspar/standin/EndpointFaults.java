package org.baobabspar.standin;

/**
 * Faults of the endpoint stand-in. Immutable.
 *
 * @param hang whether tasks never end
 * @param failAll whether tasks fail at once
 * @param unhealthy whether health checks fail
 * @param slowdown factor on every run time
 */
public record EndpointFaults(boolean hang, boolean failAll, boolean unhealthy, double slowdown) {

	/** No fault. */
	public static final EndpointFaults NONE = new EndpointFaults(false, false, false, 1);

}
