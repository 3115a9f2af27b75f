package org.baobabspar.fleet;

import java.util.Objects;

/**
 * A job that its caller has cancelled. Immutable and thread-safe.
 *
 * @param jobId id of the job
 * @param ageMillis time since it was cancelled, which processes exchange because their
 * clocks differ
 */
public record CancelledJob(String jobId, long ageMillis) {

	/** Validates the components. */
	public CancelledJob {
		Objects.requireNonNull(jobId);
		if (ageMillis < 0) {
			throw new IllegalArgumentException("age " + ageMillis);
		}
	}

}
