package org.baobabspar.entry;

/**
 * A fence that an agent has not answered yet. Immutable.
 *
 * @param job the job
 * @param agentRef the agent
 * @param purpose why the fence was sent
 * @param watermark the highest dispatch sent before the fence; placements after it are
 * not covered by the answer
 * @param sentMillis when it was sent
 */
record PendingFence(JobRecord job, String agentRef, Purpose purpose, long watermark, long sentMillis) {

	/** Why a fence was sent. */
	enum Purpose {

		/** A submission looks for what earlier attempts have started. */
		CLAIM,

		/** A link came back and the entry asks what became of its dispatches. */
		RECOVER,

		/** A job ends and what has not been started is taken back. */
		RECALL

	}

}
