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
 * @param family the family of the result code, which states whether tasks ran
 * @param message the detail for the caller
 * @param retryAfterMillis the delay before a retry, 0 if none is advised
 * @param results one value for each task, if the job is complete
 */
public record JobResponse(String jobId, int code, String name, String family, String message, long retryAfterMillis,
		List<JsonNode> results) {

	/**
	 * Converts an answer.
	 * @param answer the answer
	 * @return the response
	 */
	public static JobResponse of(JobAnswer answer) {
		ResultCode code = answer.resultCode();
		return new JobResponse(answer.jobId(), code.number(), code.name(), code.family().name(), answer.detail(),
				answer.retryAfterMillis(), answer.results().stream().map(Json::lenient).toList());
	}

}
