package org.baobabspar.message;

import org.baobabspar.model.Claim;

/**
 * Asks another entry whether it holds a job, and to refuse lower claims on it from now
 * on. Immutable.
 *
 * @param askId identifies the answer
 * @param jobId the job
 * @param claim the claim of the asker
 * @param bodyHash hash of the job's body
 */
public record JobAsk(long askId, String jobId, Claim claim, long bodyHash) implements Message {
}
