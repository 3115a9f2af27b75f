package org.baobabspar.message;

import org.baobabspar.model.TaskOutcome;

/**
 * Reports the end of a task. Sent by an agent to the entry that holds the highest claim
 * on the job. Immutable.
 *
 * @param jobId id of the job
 * @param dispatchId id of the dispatch that started the task
 * @param outcome outcome of the task
 * @param stampMillis reading of the agent's monotonic clock
 * @param limit maximum number of tasks that the entry may have at the agent
 * @param failuresInRow number of consecutive failed tasks
 */
public record TaskEnded(String jobId, long dispatchId, TaskOutcome outcome, long stampMillis, int limit,
		int failuresInRow) implements Message {
}
