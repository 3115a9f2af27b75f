package org.baobabspar.supervise;

/**
 * A lease for everything at an endpoint. It is a period and not a duration, so that it
 * does not grow if the agent stands still between its decision to renew the lease and the
 * call to the endpoint, or if the call waits for a connection. Immutable and safe for any
 * thread.
 *
 * @param fromMillis start of the lease by the agent's clock, not later than the decision
 * @param durationMillis duration of the lease, 0 to leave the endpoint's lease unchanged
 */
public record EndpointLease(long fromMillis, long durationMillis) {

	/** Leaves the endpoint's lease unchanged. */
	public static final EndpointLease NONE = new EndpointLease(0, 0);

	/**
	 * Creates a lease of {@link LeaseTimes#ENDPOINT_LEASE_MILLIS}.
	 * @param fromMillis start of the lease by the agent's clock
	 * @return the lease
	 */
	static EndpointLease startingAt(long fromMillis) {
		return new EndpointLease(fromMillis, LeaseTimes.ENDPOINT_LEASE_MILLIS);
	}

	/**
	 * Returns whether the endpoint's lease is left unchanged.
	 * @return {@code true} if there is no lease to set
	 */
	public boolean isEmpty() {
		return this.durationMillis == 0;
	}

	/**
	 * Returns the end of the lease.
	 * @return the end by the agent's clock
	 */
	public long untilMillis() {
		return this.fromMillis + this.durationMillis;
	}

}
