package org.baobabspar.message;

import org.baobabspar.model.Claim;

/**
 * Tells the former holder of a claim that a higher claim has fenced it. Sent by an agent.
 * Immutable.
 *
 * @param jobId id of the job
 * @param claim the higher claim
 */
public record JobSuperseded(String jobId, Claim claim) implements Message {
}
