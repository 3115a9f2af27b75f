package org.baobabspar.model;

import java.util.Collections;
import java.util.List;

import org.baobabspar.misc.Hashes;

/**
 * A job as submitted: 1 to 1200 tasks that are answered together. Immutable.
 * <p>
 * Invariant: {@link #id()} is the same for all attempts of a job, and {@link #bodyHash()}
 * is the same for equal bodies.
 *
 * @param party the customer that is charged for the usage
 * @param taskClass name of the task class
 * @param key the idempotency key, unique per customer
 * @param attempt attempt number from 1, or 0 if not declared
 * @param ageMillis milliseconds since the first attempt, or -1 if not declared
 * @param deadlineMillis how long the caller waits for the answer, from the time of the
 * submission
 * @param stage the stage of the document version that applies to the job
 * @param tasks the tasks
 */
public record JobSpec(String party, String taskClass, String key, int attempt, long ageMillis, long deadlineMillis,
		Stage stage, List<TaskSpec> tasks) {

	/** Maximum number of tasks in one job. */
	public static final int MAX_TASKS = 1200;

	/** Maximum length of names and idempotency keys, in characters. */
	public static final int MAX_KEY_LENGTH = 128;

	/** Maximum deadline. */
	public static final long MAX_DEADLINE_MILLIS = 600_000;

	private static final TaskSpec EMPTY_TASK = new TaskSpec(new byte[0], 0, 0);

	private static final int MAX_ATTEMPT = 1_000_000;

	private static final long MAX_AGE_MILLIS = 7L * 24 * 3600 * 1000;

	public JobSpec {
		requireName("party", party);
		requireName("class", taskClass);
		requireName("idempotencyKey", key);
		requireRange("attempt", attempt, 0, MAX_ATTEMPT);
		requireRange("millisSinceFirstAttempt", ageMillis, -1, MAX_AGE_MILLIS);
		requireRange("deadlineMillis", deadlineMillis, 1, MAX_DEADLINE_MILLIS);
		if (tasks.isEmpty() || tasks.size() > MAX_TASKS) {
			throw new CodedException(ResultCode.TASK_COUNT, "tasks: " + tasks.size() + ", 1 to " + MAX_TASKS);
		}
		tasks = List.copyOf(tasks);
	}

	/**
	 * Returns the id of the job, which is the same for all attempts.
	 * @return the customer and the idempotency key
	 */
	public String id() {
		return this.party + "/" + this.key;
	}

	/**
	 * Returns a hash of the task class and the payloads.
	 * @return the hash, equal for jobs with the same task class and payloads
	 */
	public long bodyHash() {
		long hash = Hashes.of(this.taskClass);
		for (TaskSpec task : this.tasks) {
			hash = Hashes.mix(hash, Hashes.of(task.payload()));
		}
		return hash;
	}

	/**
	 * Returns a copy of the job without payloads, to save memory once the job has ended.
	 * @return a job with the same number of empty tasks
	 */
	public JobSpec withoutPayloads() {
		return new JobSpec(this.party, this.taskClass, this.key, this.attempt, this.ageMillis, this.deadlineMillis,
				this.stage, Collections.nCopies(this.tasks.size(), EMPTY_TASK));
	}

	/**
	 * Returns whether the caller declared that the job was not submitted before.
	 * @return {@code true} for a declared first attempt
	 */
	public boolean isFirstAttempt() {
		return this.attempt == 1;
	}

	private static void requireName(String field, String value) {
		if (value == null || value.isEmpty() || value.length() > MAX_KEY_LENGTH
				|| !value.chars().allMatch(JobSpec::isNameCharacter)) {
			throw new CodedException(ResultCode.INVALID_FIELD, field + ": '" + value + "', 1 to " + MAX_KEY_LENGTH
					+ " characters of letters, digits, '.', '_', '-' and ':'");
		}
	}

	private static boolean isNameCharacter(int c) {
		return Character.isLetterOrDigit(c) || c == '.' || c == '_' || c == '-' || c == ':';
	}

	private static void requireRange(String field, long value, long low, long high) {
		if (value < low || value > high) {
			throw new CodedException(ResultCode.INVALID_FIELD, field + ": " + value + ", " + low + " to " + high);
		}
	}

}
