package org.baobabspar.standin;

/**
 * Faults injected into the endpoint stand-in. Immutable.
 *
 * @param hang whether tasks never end
 * @param failAll whether tasks fail immediately
 * @param unhealthy whether health checks fail
 * @param slowdown factor applied to every run time
 */
public record EndpointFaults(boolean hang, boolean failAll, boolean unhealthy, double slowdown) {

	/** No fault. */
	public static final EndpointFaults NONE = new EndpointFaults(false, false, false, 1);

}
