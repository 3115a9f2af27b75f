package org.baobabspar.model;

/**
 * Status of a started task at its agent. Immutable and thread-safe.
 */
public enum TaskStatus {

	/** Sent to the endpoint; no result received yet. */
	RUNNING,

	/** The endpoint returned a result. */
	DONE

}
