package org.baobabspar.entry;

import org.baobabspar.model.Claim;

/**
 * A task given to an agent and not ended yet. Immutable.
 *
 * @param job the job
 * @param index the task
 * @param agentRef the agent
 * @param dispatchId the dispatch, or 0 for a task adopted from an earlier attempt
 * @param claim the claim of the dispatch
 * @param placedMillis when it was sent or adopted
 */
record Placement(JobRecord job, int index, String agentRef, long dispatchId, Claim claim, long placedMillis) {

	/**
	 * Tell whether the task is known to have been started.
	 * @return {@code true} for an adopted task
	 */
	boolean adopted() {
		return this.dispatchId == 0;
	}

}
