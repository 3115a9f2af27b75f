package org.baobabspar.fleet;

import java.util.Objects;

/**
 * A job that an entry is about to start or has started, and that a caller may have
 * submitted to another entry as well. Immutable and thread-safe.
 *
 * @param jobId id of the job
 * @param fresh whether the claimant knows that its caller sent the request just now, so
 * that requests of unknown age at other entries are older
 */
public record ClaimedJob(String jobId, boolean fresh) {

	/** Validates the components. */
	public ClaimedJob {
		Objects.requireNonNull(jobId);
	}

}
