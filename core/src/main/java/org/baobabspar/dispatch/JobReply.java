package org.baobabspar.dispatch;

import java.util.Objects;

/**
 * The final answer to a job. Immutable and thread-safe.
 *
 * @param outcome the outcome of the job
 * @param reason a short reason for the outcome
 * @param retryAfterSeconds the time after which the caller may retry, 0 if waiting makes
 * no difference
 */
public record JobReply(JobOutcome outcome, String reason, long retryAfterSeconds) {

	/** Rejects a missing outcome or reason. */
	public JobReply {
		Objects.requireNonNull(outcome);
		Objects.requireNonNull(reason);
	}

}
