package org.baobabspar.message;

import java.util.List;

import org.baobabspar.model.TaskOutcome;

/**
 * Answer of an agent to a fence. Immutable.
 *
 * @param fenceId the fence that is answered
 * @param jobId the job
 * @param accepted whether lower claims are refused from now on; false if a higher claim
 * came first
 * @param bodyDiffers whether the job was started with another body
 * @param started every task of the job that this agent has started
 */
public record FenceReply(long fenceId, String jobId, boolean accepted, boolean bodyDiffers,
		List<TaskOutcome> started) implements Message {
}
