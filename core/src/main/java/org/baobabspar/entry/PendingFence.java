package org.baobabspar.entry;

/**
 * A fence to which the agent has not replied yet. Immutable.
 *
 * @param job the job
 * @param agentRef the agent
 * @param purpose why the fence was sent
 * @param watermark the highest dispatch identifier at the time of the fence; later
 * placements are not covered by the reply
 * @param sentMillis when it was sent
 */
record PendingFence(JobRecord job, String agentRef, Purpose purpose, long watermark, long sentMillis) {

	/** The reason for sending a fence. */
	enum Purpose {

		/**
		 * A submission establishes a claim and learns what earlier attempts have started.
		 */
		CLAIM,

		/** A link was re-established and the entry reconciles its dispatches. */
		RECONCILE,

		/** A job is being ended and its tasks that were not started are recalled. */
		RECALL

	}

}
