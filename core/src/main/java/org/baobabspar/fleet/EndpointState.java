package org.baobabspar.fleet;

/**
 * Whether an endpoint accepts new runs, as judged by its agent. Immutable and
 * thread-safe.
 */
public enum EndpointState {

	/** Accepts new runs. */
	READY,

	/** Accepts no new runs; runs in progress may complete. */
	DRAINING,

	/** Does not answer its agent, or the agent has not found an endpoint yet. */
	SILENT,

	/** Answers its agent, but its runs fail or make no progress. */
	SUSPECT

}
