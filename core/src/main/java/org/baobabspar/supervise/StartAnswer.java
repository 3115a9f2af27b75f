package org.baobabspar.supervise;

import java.util.Optional;

import org.baobabspar.fleet.RunEnd;

/**
 * An endpoint's answer to a start. Immutable and safe for any thread.
 */
public enum StartAnswer {

	/** The run is present. */
	STARTED(null),

	/** The endpoint has no room or declined the run, which was not started. */
	REFUSED(RunEnd.REFUSED),

	/** The endpoint has already had a run with this number or a higher one. */
	NUMBER_USED(RunEnd.NUMBER_USED),

	/** Another incarnation of the agent has used a higher fencing token. */
	FENCED(RunEnd.REFUSED),

	/** Another incarnation of the endpoint answered; the run was not started. */
	OTHER_LIFETIME(RunEnd.REFUSED),

	/** The start could not be sent. */
	NOT_SENT(RunEnd.REFUSED),

	/** There was no answer; the endpoint may still carry out the start. */
	UNKNOWN(null);

	private final RunEnd end;

	StartAnswer(RunEnd end) {
		this.end = end;
	}

	/**
	 * Returns how the run ended, as far as this answer tells.
	 * @return the end, empty if the run has started or its outcome is unknown
	 */
	public Optional<RunEnd> end() {
		return Optional.ofNullable(this.end);
	}

}
