package org.baobabspar.fleet;

/**
 * How a run ended. Immutable and thread-safe.
 */
public enum RunEnd {

	/** The task completed. */
	DONE(true, false),

	/** The task or its endpoint failed. */
	FAILED(true, true),

	/** Stopped on request. */
	STOPPED(true, false),

	/** The lease expired or the endpoint was lost; the run no longer exists. */
	LOST(true, false),

	/** Refused before the start: insufficient resources, or a draining endpoint. */
	REFUSED(false, false),

	/**
	 * Refused before the start because the endpoint had already seen this run number or a
	 * higher one.
	 */
	NUMBER_USED(false, false),

	/** Refused before the start because another entry has a run of the job there. */
	JOB_PRESENT(false, false);

	private final boolean mayHaveStarted;

	private final boolean countsAsAttempt;

	RunEnd(boolean mayHaveStarted, boolean countsAsAttempt) {
		this.mayHaveStarted = mayHaveStarted;
		this.countsAsAttempt = countsAsAttempt;
	}

	/**
	 * Returns whether an endpoint may have executed any part of the run.
	 * @return {@code false} only if the run certainly did not start
	 */
	public boolean mayHaveStarted() {
		return this.mayHaveStarted;
	}

	/**
	 * Returns whether the next run of the task takes another number. Endpoints know the
	 * number of a run that they have seen.
	 * @return {@code false} only if no endpoint was asked to start the run
	 */
	public boolean usesNumber() {
		return this != REFUSED && this != JOB_PRESENT;
	}

	/**
	 * Returns whether a run that ended in this way counts against the maximum number of
	 * attempts of its task.
	 * @return {@code true} if it counts
	 */
	public boolean countsAsAttempt() {
		return this.countsAsAttempt;
	}

}
