package org.baobabspar.message;

/**
 * Answer to a JobAsk. Immutable.
 *
 * @param askId the ask that is answered
 * @param jobId the job
 * @param standing what the entry knows of the job
 */
public record JobAskReply(long askId, String jobId, JobStanding standing) implements Message {
}
