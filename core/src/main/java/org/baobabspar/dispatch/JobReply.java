package org.baobabspar.dispatch;

import java.util.Objects;

/**
 * The final answer to a job. Immutable and safe for any thread.
 *
 * @param outcome how it ended
 * @param reason why, in a few words
 * @param retryAfterSeconds when the caller may try again, 0 if that makes no difference
 */
public record JobReply(JobOutcome outcome, String reason, long retryAfterSeconds) {

	/** Check the fields. */
	public JobReply {
		Objects.requireNonNull(outcome);
		Objects.requireNonNull(reason);
	}

}
