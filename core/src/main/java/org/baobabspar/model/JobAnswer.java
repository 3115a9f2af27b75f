package org.baobabspar.model;

import java.util.List;

/**
 * The answer to a job: either complete with all results, or failed. Immutable, provided
 * that no one modifies the result arrays.
 * <p>
 * Invariant: results are present if and only if the code is {@link ResultCode#COMPLETE},
 * one per task in the order of the tasks.
 *
 * @param jobId id of the job
 * @param code number of the result code
 * @param detail message for the caller
 * @param results the result of each task, empty unless the job is complete
 * @param retryAfterMillis delay before the caller should retry, 0 if retrying sooner or
 * later makes no difference
 */
public record JobAnswer(String jobId, int code, String detail, List<byte[]> results, long retryAfterMillis) {

	public JobAnswer {
		if (code == ResultCode.COMPLETE.number() && results.isEmpty()) {
			throw new IllegalArgumentException("an answer with the code COMPLETE must contain results");
		}
		if (code != ResultCode.COMPLETE.number() && !results.isEmpty()) {
			throw new IllegalArgumentException("an answer with a code other than COMPLETE must not contain results");
		}
	}

	/**
	 * Creates a complete answer.
	 * @param jobId id of the job
	 * @param results the result of each task
	 * @return the answer
	 */
	public static JobAnswer complete(String jobId, List<byte[]> results) {
		return new JobAnswer(jobId, ResultCode.COMPLETE.number(), ResultCode.COMPLETE.message(), results, 0);
	}

	/**
	 * Creates an answer without results.
	 * @param jobId id of the job
	 * @param code the result code
	 * @param detail message for the caller
	 * @return the answer
	 */
	public static JobAnswer failed(String jobId, ResultCode code, String detail) {
		return new JobAnswer(jobId, code.number(), detail, List.of(), 0);
	}

	/**
	 * Returns the result code.
	 * @return the result code, or {@link ResultCode#OUTCOME_UNKNOWN} if the number is not
	 * known to this version of the software
	 */
	public ResultCode resultCode() {
		return ResultCode.of(this.code).orElse(ResultCode.OUTCOME_UNKNOWN);
	}

}
