package org.baobabspar.message;

/**
 * Forwards a caller's cancellation to the entry that holds the job. Immutable.
 *
 * @param jobId id of the job
 */
public record JobCancel(String jobId) implements Message {
}
