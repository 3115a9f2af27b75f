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

	private final boolean started;

	private final boolean attemptUsed;

	RunEnd(boolean started, boolean attemptUsed) {
		this.started = started;
		this.attemptUsed = attemptUsed;
	}

	/**
	 * Tell whether the run may have begun.
	 * @return whether an endpoint may have worked on it
	 */
	public boolean started() {
		return this.started;
	}

	/**
	 * Tell whether the end counts against the attempts of the task.
	 * @return whether it counts
	 */
	public boolean attemptUsed() {
		return this.attemptUsed;
	}

}
