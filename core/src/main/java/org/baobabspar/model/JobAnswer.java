package org.baobabspar.model;

import java.util.List;

/**
 * The answer to a job: whole or failed. Immutable but for the results' bytes, which
 * nobody writes.
 * <p>
 * Invariant: results are present exactly when the code is {@link ResultCode#COMPLETE},
 * one for each task in the job's order.
 *
 * @param jobId the job
 * @param code the number of the result code
 * @param detail a sentence for the caller
 * @param results the result of each task, or none
 * @param retryAfterMillis when to try again, 0 if it makes no difference
 */
public record JobAnswer(String jobId, int code, String detail, List<byte[]> results, long retryAfterMillis) {

	public JobAnswer {
		if (code == ResultCode.COMPLETE.number() && results.isEmpty()) {
			throw new IllegalArgumentException("a complete answer has results");
		}
		if (code != ResultCode.COMPLETE.number() && !results.isEmpty()) {
			throw new IllegalArgumentException("a failed answer has no results");
		}
	}

	/**
	 * Return a whole answer.
	 * @param jobId the job
	 * @param results the result of each task
	 * @return the answer
	 */
	public static JobAnswer complete(String jobId, List<byte[]> results) {
		return new JobAnswer(jobId, ResultCode.COMPLETE.number(), ResultCode.COMPLETE.message(), results, 0);
	}

	/**
	 * Return an answer without results.
	 * @param jobId the job
	 * @param code the code
	 * @param detail what the caller should know
	 * @return the answer
	 */
	public static JobAnswer failed(String jobId, ResultCode code, String detail) {
		return new JobAnswer(jobId, code.number(), detail, List.of(), 0);
	}

	/**
	 * Return the code as an enum.
	 * @return the code, {@link ResultCode#OUTCOME_UNKNOWN} for a number of a newer
	 * version
	 */
	public ResultCode resultCode() {
		return ResultCode.of(this.code).orElse(ResultCode.OUTCOME_UNKNOWN);
	}

}
