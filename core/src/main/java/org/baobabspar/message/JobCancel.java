package org.baobabspar.message;

/**
 * Passes a caller's cancellation to the entry that holds the job. Immutable.
 *
 * @param jobId the job
 */
public record JobCancel(String jobId) implements Message {
}
