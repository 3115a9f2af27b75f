package org.baobabspar.entry;

/**
 * The state of a job at an entry. Immutable and safe for use by any thread.
 */
public enum JobState {

	/** Other entries are being queried whether they hold the job. */
	QUERYING_PEERS,

	/**
	 * Agents are being fenced: they report the tasks that they have started and refuse
	 * lower claims from then on.
	 */
	FENCING_AGENTS,

	/** Held by this entry; its tasks are waiting or running. */
	RUNNING,

	/** Held by another entry, which will send the answer. */
	ATTACHED,

	/** Being ended; agents are asked which of its tasks were started. */
	RECALLING,

	/** Ended and answered. */
	ENDED;

	/**
	 * Returns whether this entry may have dispatched tasks of the job to agents.
	 * @return {@code true} if this entry holds the job
	 */
	boolean holdsTasks() {
		return this == RUNNING || this == RECALLING;
	}

	/**
	 * Returns whether a cancellation still has an effect at this entry.
	 * @return {@code true} for a job that has not ended, is not being ended and is not
	 * held elsewhere
	 */
	boolean cancellable() {
		return this == QUERYING_PEERS || this == FENCING_AGENTS || this == RUNNING;
	}

}
