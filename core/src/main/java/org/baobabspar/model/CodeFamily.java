package org.baobabspar.model;

/**
 * Tells what a result code promises about the tasks of a job. Immutable and safe for any
 * thread.
 */
public enum CodeFamily {

	/** Every task ran and the answer is whole. */
	COMPLETE,

	/** No task of the submission was started, and none will be. */
	NOT_RUN,

	/** Whether tasks were started is not known; this attempt starts nothing more. */
	UNKNOWN,

	/** At least one task was started and the job as a whole failed. */
	FAILED,

	/** The gate of an agent declined one dispatch; never seen by callers. */
	GATE,

	/** A frame or connection between two processes was at fault. */
	WIRE,

	/** The platform log, a document or a setting was at fault. */
	OPERATION

}
