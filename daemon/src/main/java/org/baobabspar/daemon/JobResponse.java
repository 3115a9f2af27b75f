package org.baobabspar.daemon;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.baobabspar.model.JobAnswer;
import org.baobabspar.model.ResultCode;

/**
 * The answer to a submission in JSON. Immutable.
 *
 * @param jobId the job
 * @param code the number of the result code
 * @param name the name of the result code
 * @param family what the code promises
 * @param message what the caller should know
 * @param retryAfterMillis when to try again, 0 if it makes no difference
 * @param results one value for each task, if the job is complete
 */
public record JobResponse(String jobId, int code, String name, String family, String message, long retryAfterMillis,
		List<JsonNode> results) {

	/**
	 * Describe an answer.
	 * @param a the answer
	 * @return the response
	 */
	public static JobResponse of(JobAnswer a) {
		ResultCode c = a.resultCode();
		return new JobResponse(a.jobId(), c.number(), c.name(), c.family().name(), a.detail(), a.retryAfterMillis(),
				a.results().stream().map(Json::lenient).toList());
	}

}
