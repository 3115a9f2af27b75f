package org.baobabspar.message;

import org.baobabspar.model.Claim;

/**
 * Sent by an agent to the former holder of a claim when a higher one has fenced it.
 * Immutable.
 *
 * @param jobId the job
 * @param claim the higher claim
 */
public record JobSuperseded(String jobId, Claim claim) implements Message {
}
