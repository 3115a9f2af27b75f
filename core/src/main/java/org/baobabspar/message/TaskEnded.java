package org.baobabspar.message;

import org.baobabspar.model.TaskOutcome;

/**
 * Sent by an agent to the entry that holds the newest claim on the job when a task has
 * ended. Immutable.
 *
 * @param jobId the job
 * @param dispatchId the dispatch that started it
 * @param outcome the ended task
 * @param stampMillis the agent's monotonic clock
 * @param limit how many tasks the entry may have at the agent
 * @param failuresInRow tasks that failed since the last success
 */
public record TaskEnded(String jobId, long dispatchId, TaskOutcome outcome, long stampMillis, int limit,
		int failuresInRow) implements Message {
}
