package org.baobabspar.message;

import java.util.List;

import org.baobabspar.model.TaskOutcome;

/**
 * Reply of an agent to a {@link Fence}. Immutable.
 *
 * @param fenceId id of the request
 * @param jobId id of the job
 * @param accepted whether lower claims are refused from now on; {@code false} if the
 * agent has already seen a higher claim
 * @param bodyDiffers whether the job was started with a different body
 * @param started all tasks of the job that this agent has started
 */
public record FenceReply(long fenceId, String jobId, boolean accepted, boolean bodyDiffers,
		List<TaskOutcome> started) implements Message {
}
