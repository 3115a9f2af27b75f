package org.baobabspar.message;

import org.baobabspar.model.Claim;

/**
 * Asks an agent which tasks of a job it has started, and to refuse every lower claim from
 * now on. Immutable.
 *
 * @param fenceId identifies the answer
 * @param jobId the job
 * @param claim the claim that lower ones give way to
 * @param bodyHash hash of the job's body
 */
public record Fence(long fenceId, String jobId, Claim claim, long bodyHash) implements Message {
}
