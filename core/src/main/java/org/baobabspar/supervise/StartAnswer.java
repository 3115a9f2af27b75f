package org.baobabspar.supervise;

import java.util.Optional;

import org.baobabspar.fleet.RunEnd;

/**
 * Answer of an endpoint to a start. Immutable and safe for any thread.
 */
public enum StartAnswer {

	/** The run is present. */
	STARTED(null),

	/** There is no room, or the endpoint does not want it; nothing was done. */
	REFUSED(RunEnd.REFUSED),

	/** A run with this number or a higher one was there before. */
	NUMBER_USED(RunEnd.NUMBER_USED),

	/** Another agent lifetime has used a higher fencing token. */
	FENCED(RunEnd.REFUSED),

	/** Another lifetime of the endpoint answered; nothing was done. */
	OTHER_LIFETIME(RunEnd.REFUSED),

	/** The start could not be sent. */
	NOT_SENT(RunEnd.REFUSED),

	/** No answer; the start may happen yet. */
	UNKNOWN(null);

	private final RunEnd end;

	StartAnswer(RunEnd end) {
		this.end = end;
	}

	/**
	 * Return how the run ended by this answer.
	 * @return the end, or empty if it goes on or nobody knows
	 */
	public Optional<RunEnd> end() {
		return Optional.ofNullable(this.end);
	}

}
