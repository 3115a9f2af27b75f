package org.baobabspar.fleet;

/**
 * How a run ended. Immutable and safe for any thread.
 */
public enum RunEnd {

	/** The task has done its work. */
	DONE(true, false),

	/** The task or its endpoint failed. */
	FAILED(true, true),

	/** Stopped on request. */
	STOPPED(true, false),

	/** The lease lapsed or the endpoint was lost; nothing of the run is left. */
	LOST(true, false),

	/** Refused before it began: no room, or the endpoint takes no work. */
	REFUSED(false, false),

	/** Refused since a run with this number or a higher one was there before. */
	NUMBER_USED(false, false);

	private final boolean mayHaveStarted;

	private final boolean countsAsAttempt;

	RunEnd(boolean mayHaveStarted, boolean countsAsAttempt) {
		this.mayHaveStarted = mayHaveStarted;
		this.countsAsAttempt = countsAsAttempt;
	}

	/**
	 * Tell whether the run may have begun.
	 * @return whether an endpoint may have worked on it
	 */
	public boolean mayHaveStarted() {
		return this.mayHaveStarted;
	}

	/**
	 * Tell whether the end counts against the attempts of the task.
	 * @return whether it counts
	 */
	public boolean countsAsAttempt() {
		return this.countsAsAttempt;
	}

}
