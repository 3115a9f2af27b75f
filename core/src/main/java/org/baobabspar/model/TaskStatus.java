package org.baobabspar.model;

/**
 * Where a started task stands at its agent. Immutable.
 */
public enum TaskStatus {

	/** Handed to the endpoint, no result yet. */
	RUNNING,

	/** The endpoint gave a result. */
	DONE

}
