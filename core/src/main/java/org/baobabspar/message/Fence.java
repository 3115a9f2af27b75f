package org.baobabspar.message;

import org.baobabspar.model.Claim;

/**
 * Requests an agent to refuse lower claims on a job from now on and to report the tasks
 * of the job that it has started. Immutable.
 *
 * @param fenceId correlates the reply with this request
 * @param jobId id of the job
 * @param claim the claim; lower claims are fenced
 * @param bodyHash hash of the job's body
 */
public record Fence(long fenceId, String jobId, Claim claim, long bodyHash) implements Message {
}
