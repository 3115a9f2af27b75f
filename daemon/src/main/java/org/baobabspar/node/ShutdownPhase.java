package org.baobabspar.node;

/**
 * The phases of the graceful shutdown of an entry. The load balancer stops opening
 * connections once two health checks have found the entry not ready; until then, jobs on
 * open connections are accepted, and they have the rest of the grace period to complete.
 * <p>
 * Example with a grace period of 6 s: jobs are accepted for 2.6 s, running jobs may
 * complete until 5.3 s, and the remaining jobs are then declined. Immutable and
 * thread-safe.
 */
public enum ShutdownPhase {

	/** Accepts jobs but reports not ready, so that no new connections are opened. */
	DRAINING,

	/** Refuses new jobs and waits for open jobs to complete. */
	FINISHING,

	/** Answers the remaining jobs and exits. */
	ENDING;

	/** Two health checks of the load balancer at intervals of 1 s, plus a margin. */
	static final long UNREADY_NOTICE_MILLIS = 2_600;

	/** Time reserved for the last responses and the exit of the process. */
	static final long EXIT_RESERVE_MILLIS = 700;

	/**
	 * Returns the phase at a point in time.
	 * @param sinceMillis the time since the stop request
	 * @param graceMillis the time from the stop request until the process is killed
	 * @param openJobs the number of jobs whose callers are waiting
	 * @return the phase
	 */
	public static ShutdownPhase of(long sinceMillis, long graceMillis, long openJobs) {
		if (sinceMillis >= graceMillis - EXIT_RESERVE_MILLIS) {
			return ENDING;
		}
		if (sinceMillis < Math.min(UNREADY_NOTICE_MILLIS, graceMillis / 2)) {
			return DRAINING;
		}
		return (openJobs > 0) ? FINISHING : ENDING;
	}

}
