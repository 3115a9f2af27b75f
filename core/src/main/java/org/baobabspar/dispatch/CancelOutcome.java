package org.baobabspar.dispatch;

/**
 * The answer to the caller that cancels a job. Immutable and thread-safe.
 */
public enum CancelOutcome {

	/** The job has ended or is being stopped, and starts no more. */
	CANCELLED,

	/** No process in reach has heard of the job, and it starts no more. */
	UNKNOWN_JOB,

	/**
	 * The job starts no more here, but not all processes that were asked have confirmed
	 * that.
	 */
	UNCONFIRMED

}
