package org.baobabspar.entry;

import org.baobabspar.model.Claim;

/**
 * A task that was placed on an agent and has not ended. Immutable.
 *
 * @param job the job
 * @param index the index of the task
 * @param agentRef the agent
 * @param dispatchId the dispatch, or 0 for a task adopted from an earlier attempt
 * @param claim the claim of the dispatch
 * @param placedMillis when it was dispatched or adopted
 */
record Placement(JobRecord job, int index, String agentRef, long dispatchId, Claim claim, long placedMillis) {

	/**
	 * Returns whether the task was adopted from an earlier attempt, and is thus known to
	 * have been started.
	 * @return {@code true} for an adopted task
	 */
	boolean adopted() {
		return this.dispatchId == 0;
	}

}
