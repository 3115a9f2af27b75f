package org.baobabspar.model;

/**
 * Classifies result codes by what they guarantee about the tasks of a job. Immutable and
 * thread-safe.
 */
public enum CodeFamily {

	/** Every task ran and the answer contains all results. */
	COMPLETE,

	/** No task of the submission was started, and none will be. */
	NOT_RUN,

	/** It is unknown whether tasks were started; this attempt starts no more tasks. */
	UNKNOWN,

	/** At least one task was started and the job as a whole failed. */
	FAILED,

	/** An agent refused a single dispatch; never returned to callers. */
	GATE,

	/** A frame or connection between two processes was faulty. */
	WIRE,

	/** The platform log was unavailable, or a document or setting was invalid. */
	OPERATION

}
