package org.baobabspar.message;

/**
 * Sent by an agent instead of a start. The dispatch will never be started, not even when
 * it is delivered again. Immutable.
 *
 * @param jobId the job
 * @param index the task
 * @param dispatchId the refused dispatch
 * @param code number of the gate's code
 * @param stampMillis the agent's monotonic clock
 * @param limit how many tasks the entry may have at the agent
 */
public record TaskRefused(String jobId, int index, long dispatchId, int code, long stampMillis,
		int limit) implements Message {
}
