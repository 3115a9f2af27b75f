package org.baobabspar.message;

/**
 * Refuses a dispatch. The agent never starts the refused dispatch, not even if it is
 * delivered again. Immutable.
 *
 * @param jobId id of the job
 * @param index index of the task in its job
 * @param dispatchId id of the refused dispatch
 * @param code number of the result code that states the reason
 * @param stampMillis reading of the agent's monotonic clock
 * @param limit maximum number of tasks that the entry may have at the agent
 */
public record TaskRefused(String jobId, int index, long dispatchId, int code, long stampMillis,
		int limit) implements Message {
}
