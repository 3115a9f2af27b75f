package org.baobabspar.message;

/**
 * Reply to a {@link JobAsk}. Immutable.
 *
 * @param askId id of the request
 * @param jobId id of the job
 * @param standing the state of the job at the replying entry
 */
public record JobAskReply(long askId, String jobId, JobStanding standing) implements Message {
}
