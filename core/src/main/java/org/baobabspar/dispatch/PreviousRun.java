package org.baobabspar.dispatch;

import org.baobabspar.fleet.RunEnd;

/**
 * The last run of a task that has ended, and how the entry knows. Immutable and
 * thread-safe.
 *
 * @param number number of the run
 * @param agent name of the agent to which it was dispatched
 * @param end how it ended
 * @param proof how the entry knows
 * @param endedMillis when the entry learned of it
 */
record PreviousRun(long number, String agent, RunEnd end, Proof proof, long endedMillis) {

	/** How an entry knows that a run has ended or never began. */
	enum Proof {

		/** The agent reported the end. */
		REPORTED,

		/** The agent did not list the run on a new link. */
		NOT_LISTED,

		/** The agent was silent until all its leases had expired. */
		AGENT_SILENT

	}

	/**
	 * Tells whether the next start of the task is logged. Refusals that agents report are
	 * frequent under load and have a line of their own.
	 * @return whether the run may have started or its end is inferred
	 */
	boolean explainsRestart() {
		return this.end.mayHaveStarted() || this.proof != Proof.REPORTED;
	}

	String describe(long nowMillis) {
		return "previous=#" + this.number + " previous_agent=" + this.agent + " end=" + this.end + " proof="
				+ this.proof + " ended_ms_ago=" + (nowMillis - this.endedMillis);
	}

}
