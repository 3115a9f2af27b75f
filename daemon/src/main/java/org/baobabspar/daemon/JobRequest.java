package org.baobabspar.daemon;

import java.io.IOException;
import java.util.List;
import java.util.stream.Collectors;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.JobSpec;
import org.baobabspar.model.ResultCode;
import org.baobabspar.model.Stage;
import org.baobabspar.model.TaskSpec;

/**
 * The body of a submission in JSON. Immutable.
 *
 * @param party the customer that is charged
 * @param taskClass the class of work
 * @param key the idempotency key
 * @param attempt the attempt ordinal, from 1; absent if not declared
 * @param ageMillis milliseconds since the first attempt; absent if not declared
 * @param deadlineMillis how long the caller waits
 * @param stage the stage whose document version applies to the job
 * @param tasks the tasks
 */
public record JobRequest(@JsonProperty("party") String party, @JsonProperty("class") String taskClass,
		@JsonProperty("idempotencyKey") String key, @JsonProperty("attempt") Integer attempt,
		@JsonProperty("millisSinceFirstAttempt") Long ageMillis, @JsonProperty("deadlineMillis") Long deadlineMillis,
		@JsonProperty("stage") Stage stage, @JsonProperty("tasks") List<Task> tasks) {

	private static final long DEFAULT_DEADLINE_MILLIS = 30_000;

	/**
	 * Parses and validates a submission.
	 * @param body the body in JSON
	 * @return the job
	 * @throws CodedException with a code of the family {@code NOT_RUN} that names the
	 * error
	 */
	public static JobSpec read(byte[] body) {
		try {
			JobRequest request = Json.MAPPER.readValue(body, JobRequest.class);
			if (request == null) {
				throw new CodedException(ResultCode.MALFORMED_REQUEST, "the request body is empty");
			}
			return request.spec();
		}
		catch (UnrecognizedPropertyException ex) {
			throw new CodedException(ResultCode.INVALID_FIELD, path(ex) + ": unknown field", ex);
		}
		catch (JsonMappingException ex) {
			throw new CodedException(ResultCode.INVALID_FIELD, path(ex) + ": " + ex.getOriginalMessage(), ex);
		}
		catch (JsonProcessingException ex) {
			throw new CodedException(ResultCode.MALFORMED_REQUEST, "line " + ex.getLocation().getLineNr() + ", column "
					+ ex.getLocation().getColumnNr() + ": " + ex.getOriginalMessage(), ex);
		}
		catch (IOException ex) {
			throw new CodedException(ResultCode.MALFORMED_REQUEST, "the request body cannot be read", ex);
		}
	}

	private static String path(JsonMappingException ex) {
		return ex.getPath()
			.stream()
			.map((reference) -> (reference.getFieldName() != null) ? reference.getFieldName()
					: "[" + reference.getIndex() + "]")
			.collect(Collectors.joining("."));
	}

	private JobSpec spec() {
		if (this.tasks == null) {
			throw new CodedException(ResultCode.TASK_COUNT, "tasks: missing, 1 to " + JobSpec.MAX_TASKS);
		}
		if (this.tasks.size() > JobSpec.MAX_TASKS) {
			throw new CodedException(ResultCode.TASK_COUNT,
					"tasks: " + this.tasks.size() + ", 1 to " + JobSpec.MAX_TASKS);
		}
		int ordinal = (this.attempt != null) ? this.attempt : 0;
		long age = (this.ageMillis != null) ? this.ageMillis : (ordinal == 1) ? 0 : -1;
		long deadline = (this.deadlineMillis != null) ? this.deadlineMillis : DEFAULT_DEADLINE_MILLIS;
		return new JobSpec(this.party, this.taskClass, this.key, ordinal, age, deadline,
				(this.stage != null) ? this.stage : Stage.PRODUCTION, this.tasks.stream().map(Task::spec).toList());
	}

	/**
	 * One task of a submission. Immutable.
	 *
	 * @param payload any JSON value, passed to the endpoint
	 * @param declaredMillis the declared run time
	 * @param declaredMegabytes the declared memory need
	 */
	public record Task(JsonNode payload, long declaredMillis, long declaredMegabytes) {

		private TaskSpec spec() {
			return new TaskSpec(Json.bytes(this.payload), this.declaredMillis, this.declaredMegabytes);
		}

	}

}
