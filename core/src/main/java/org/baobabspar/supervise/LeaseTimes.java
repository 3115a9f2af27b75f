package org.baobabspar.supervise;

/**
 * The times that prevent two runs of a task from overlapping. After the last request for
 * a lease that an entry granted, an agent keeps the entry's runs for
 * {@link #ENTRY_LEASE_MILLIS} and then stops them. If the agent itself fails, the
 * endpoint's lease ends them. An entry that hears nothing from an agent therefore waits
 * for both before it may start the task elsewhere:
 *
 * <pre>
 * entry lease + endpoint lease * clock drift + stop &lt; {@link #LOSS_MILLIS}
 *         350 +            700 *        1.03 +   60  =  1131
 * </pre>
 *
 * The inequality holds although the endpoint may carry out a stop seconds late, since no
 * lease of the endpoint is counted from a later time than the end of the entry lease of
 * any run that may be present (see {@link LeaseRenewals}). So it depends neither on the
 * tick of the agent nor on how often a stop is repeated; these only decide how long the
 * other runs at the endpoint go without a renewal.
 * <p>
 * A caller's retry after a broken connection comes no sooner than 1300 ms, so no run of
 * the first attempt is left by then, even if its entry has failed. Constants only.
 */
public final class LeaseTimes {

	/** How long an agent keeps an entry's runs without a grant. */
	public static final long ENTRY_LEASE_MILLIS = 350;

	/**
	 * Duration of the lease that an agent sets at its endpoint; shorter than the
	 * platform's lease of one second.
	 */
	public static final long ENDPOINT_LEASE_MILLIS = 700;

	/** Clocks of endpoints may be two percent slow; one more percent for rounding. */
	public static final double CLOCK_DRIFT_FACTOR = 1.03;

	/** Interval at which an agent with runs looks for leases that have lapsed. */
	public static final long TICK_MILLIS = 40;

	/** Upper bound for the time in which an endpoint stops a run and lists its end. */
	public static final long MAX_STOP_MILLIS = 60;

	/**
	 * Time after the last renewal by which a silent endpoint has certainly ended all its
	 * runs.
	 */
	public static final long ENDPOINT_EXPIRY_MILLIS = (long) (ENDPOINT_LEASE_MILLIS * CLOCK_DRIFT_FACTOR)
			+ MAX_STOP_MILLIS;

	/** Time after which an entry considers the runs at a silent agent as ended. */
	public static final long LOSS_MILLIS = ENTRY_LEASE_MILLIS + ENDPOINT_EXPIRY_MILLIS + 50;

	private LeaseTimes() {
	}

}
