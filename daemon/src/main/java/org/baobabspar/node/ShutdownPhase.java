package org.baobabspar.node;

/**
 * What an entry does between the request to stop and its end. New connections stop once
 * the balancer has seen it unready twice; jobs on open connections are taken until then,
 * and have the rest of the grace to end. Example with six seconds: jobs are taken for 2.6
 * s, those that run have until 5.3 s, and the rest is answered then. Immutable and safe
 * for any thread.
 */
public enum ShutdownPhase {

	/** Takes jobs, and asks for no new connections. */
	DRAINING,

	/** Refuses new jobs and waits for those that run. */
	FINISHING,

	/** Answers what is left and ends. */
	ENDING;

	/** Two looks of the balancer, a second apart, and some margin. */
	static final long NOTICE_MILLIS = 2_600;

	/** Time for the last answers and the end of the process. */
	static final long END_MILLIS = 700;

	/**
	 * Find the phase.
	 * @param sinceMillis time since the request to stop
	 * @param graceMillis time until the process is killed
	 * @param open jobs whose callers wait
	 * @return the phase
	 */
	public static ShutdownPhase of(long sinceMillis, long graceMillis, long open) {
		if (sinceMillis >= graceMillis - END_MILLIS) {
			return ENDING;
		}
		if (sinceMillis < Math.min(NOTICE_MILLIS, graceMillis / 2)) {
			return DRAINING;
		}
		return (open > 0) ? FINISHING : ENDING;
	}

}
