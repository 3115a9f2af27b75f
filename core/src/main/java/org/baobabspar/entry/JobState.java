package org.baobabspar.entry;

/**
 * Where a job stands at an entry. Immutable.
 */
public enum JobState {

	/** Other entries are asked whether they hold it. */
	QUERYING_PEERS,

	/** Agents are asked what they have started, and to refuse lower claims. */
	FENCING_AGENTS,

	/** Held here: tasks wait or run. */
	RUNNING,

	/** Held by a peer, which will send the answer. */
	ATTACHED,

	/** Being ended: agents are asked which of its tasks were started. */
	RECALLING,

	/** Answered. */
	ENDED;

	/**
	 * Tell whether this entry may have given tasks of the job to agents.
	 * @return {@code true} if the job lives here
	 */
	boolean holdsTasks() {
		return this == RUNNING || this == RECALLING;
	}

	/**
	 * Tell whether a cancellation still has something to do here.
	 * @return {@code true} for a job that is neither ended, ending nor held elsewhere
	 */
	boolean cancellable() {
		return this == QUERYING_PEERS || this == FENCING_AGENTS || this == RUNNING;
	}

}
