package org.baobabspar.fleet;

/**
 * Whether an endpoint takes runs, as its agent sees it. Immutable and safe for any
 * thread.
 */
public enum EndpointState {

	/** Takes runs. */
	READY,

	/** Is leaving; what runs there may end. */
	DRAINING,

	/** Does not answer its agent, or is not known yet. */
	SILENT,

	/** Answers, but its runs fail or stand still. */
	SUSPECT

}
