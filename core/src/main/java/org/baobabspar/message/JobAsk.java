package org.baobabspar.message;

import org.baobabspar.model.Claim;

/**
 * Asks another entry whether it holds a job, and requests it to refuse lower claims on
 * the job from now on. Immutable.
 *
 * @param askId correlates the reply with this request
 * @param jobId id of the job
 * @param claim the claim of the requesting entry
 * @param bodyHash hash of the job's body
 */
public record JobAsk(long askId, String jobId, Claim claim, long bodyHash) implements Message {
}
