package org.baobabspar.dispatch;

/**
 * What a caller is told of a job. Immutable and safe for any thread.
 */
public enum JobOutcome {

	/** All tasks have done their work. */
	COMPLETED,

	/** A task has failed as often as its route allows. */
	FAILED,

	/** No task has started and none will. */
	REFUSED,

	/** Tasks may have started, and the entry has given the job up. */
	UNKNOWN

}
