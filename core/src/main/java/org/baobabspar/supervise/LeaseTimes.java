package org.baobabspar.supervise;

/**
 * The times that keep two runs of a task apart. An agent lets an entry's runs go on for
 * {@link #ENTRY_LEASE_MILLIS} after the last request that the entry granted, then stops
 * them. If the agent itself stops, the endpoint's lease ends them. An entry that hears
 * nothing therefore waits for both and may then start the task elsewhere:
 *
 * <pre>
 * entry lease + endpoint lease * drift + stop &lt; {@link #LOSS_MILLIS}
 *         350 +            700 * 1.03  +   60  =  1131
 * </pre>
 *
 * A caller's retry after a broken connection comes no sooner than 1300 ms, so that
 * nothing of the first attempt is left even if its entry died. Constants only.
 */
public final class LeaseTimes {

	/** How long an agent lets an entry's runs go on without a grant. */
	public static final long ENTRY_LEASE_MILLIS = 350;

	/**
	 * How far ahead an agent sets its endpoint's lease; below the platform's second.
	 */
	public static final long ENDPOINT_LEASE_MILLIS = 700;

	/** Clocks of endpoints may be two percent slow; one more for rounding. */
	public static final double CLOCK_DRIFT_FACTOR = 1.03;

	/** Time that an endpoint may take to stop a run, and to list it. */
	public static final long MAX_STOP_MILLIS = 60;

	/** When a silent endpoint has surely ended all its runs, from the last renewal. */
	public static final long ENDPOINT_EXPIRY_MILLIS = (long) (ENDPOINT_LEASE_MILLIS * CLOCK_DRIFT_FACTOR)
			+ MAX_STOP_MILLIS;

	/** When an entry takes the runs at a silent agent as ended. */
	public static final long LOSS_MILLIS = ENTRY_LEASE_MILLIS + ENDPOINT_EXPIRY_MILLIS + 50;

	private LeaseTimes() {
	}

}
