package org.baobabspar.model;

/**
 * What a start ledger holds of one started task. Immutable but for the result's bytes,
 * which nobody writes.
 *
 * @param index the index of the task in its job
 * @param status whether the task has ended
 * @param code the number of the result code; meaningful once the task has ended
 * @param result the endpoint's answer, empty while the task runs
 * @param serviceMillis how long the endpoint took
 */
public record TaskOutcome(int index, TaskStatus status, int code, byte[] result, long serviceMillis) {

	private static final byte[] NOTHING = new byte[0];

	/**
	 * Return the outcome of a task that runs.
	 * @param index the index of the task
	 * @return an outcome without result
	 */
	public static TaskOutcome running(int index) {
		return new TaskOutcome(index, TaskStatus.RUNNING, 0, NOTHING, 0);
	}

	public boolean isDone() {
		return this.status == TaskStatus.DONE;
	}

	/**
	 * Tell whether the endpoint completed the task.
	 * @return {@code true} for an ended task with the complete code
	 */
	public boolean succeeded() {
		return isDone() && this.code == ResultCode.COMPLETE.number();
	}

}
