package org.baobabspar.model;

import java.util.Collections;
import java.util.List;

import org.baobabspar.misc.Hashes;

/**
 * A job as submitted: 1 to 1200 tasks that are answered together. Immutable.
 * <p>
 * Invariant: {@link #id()} is the same for every attempt of one job, and
 * {@link #bodyHash()} is the same for equal bodies.
 *
 * @param party the party that the use is charged to
 * @param taskClass the class of work
 * @param key the idempotency key, unique within the party
 * @param attempt the attempt ordinal from 1, or 0 when not declared
 * @param ageMillis milliseconds since the first attempt, or -1 when not declared
 * @param deadlineMillis how long the caller waits, from now
 * @param stage which document version judges the job
 * @param tasks the tasks
 */
public record JobSpec(String party, String taskClass, String key, int attempt, long ageMillis, long deadlineMillis,
		Stage stage, List<TaskSpec> tasks) {

	/** Most tasks of one job. */
	public static final int MAX_TASKS = 1200;

	/** Longest idempotency key, in characters. */
	public static final int MAX_KEY_LENGTH = 128;

	/** Longest deadline, in milliseconds. */
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
	 * Return the identity of the job.
	 * @return the party and the key
	 */
	public String id() {
		return this.party + "/" + this.key;
	}

	/**
	 * Return a hash over what the job asks for.
	 * @return the same value for equal class and tasks
	 */
	public long bodyHash() {
		long h = Hashes.of(this.taskClass);
		for (TaskSpec t : this.tasks) {
			h = Hashes.mix(h, Hashes.of(t.payload()));
		}
		return h;
	}

	/**
	 * Return the same job without what its tasks carry, for a job that has ended.
	 * @return a job of as many empty tasks
	 */
	public JobSpec withoutPayloads() {
		return new JobSpec(this.party, this.taskClass, this.key, this.attempt, this.ageMillis, this.deadlineMillis,
				this.stage, Collections.nCopies(this.tasks.size(), EMPTY_TASK));
	}

	/**
	 * Tell whether the caller declares that nobody was asked to run the job before.
	 * @return {@code true} for a declared first attempt
	 */
	public boolean isFirstAttempt() {
		return this.attempt == 1;
	}

	private static void requireName(String field, String value) {
		if (value == null || value.isEmpty() || value.length() > MAX_KEY_LENGTH
				|| !value.chars().allMatch(JobSpec::nameCharacter)) {
			throw new CodedException(ResultCode.INVALID_FIELD, field + ": '" + value + "', 1 to " + MAX_KEY_LENGTH
					+ " characters of letters, digits, '.', '_', '-' and ':'");
		}
	}

	private static boolean nameCharacter(int c) {
		return Character.isLetterOrDigit(c) || c == '.' || c == '_' || c == '-' || c == ':';
	}

	private static void requireRange(String field, long value, long low, long high) {
		if (value < low || value > high) {
			throw new CodedException(ResultCode.INVALID_FIELD, field + ": " + value + ", " + low + " to " + high);
		}
	}

}
