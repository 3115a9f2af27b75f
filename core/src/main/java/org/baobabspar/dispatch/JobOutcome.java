package org.baobabspar.dispatch;

/**
 * The outcome of a job as reported to its caller. Immutable and thread-safe.
 */
public enum JobOutcome {

	/** All tasks of the job are done. */
	COMPLETED,

	/**
	 * A task failed as many times as its route allows, or the caller cancelled the job.
	 */
	FAILED,

	/** No task has started, and none will. */
	REFUSED,

	/** Tasks may have started, and the entry no longer pursues the job. */
	UNKNOWN

}
