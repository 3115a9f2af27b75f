package org.baobabspar.model;

/**
 * State and outcome of a started task, as recorded in the start ledger of an agent.
 * Immutable, provided that no one modifies the result array.
 *
 * @param index index of the task in its job
 * @param status whether the task has ended
 * @param code number of the result code; valid once the task has ended
 * @param result the result returned by the endpoint, empty while the task is running
 * @param serviceMillis time that the endpoint took to run the task
 */
public record TaskOutcome(int index, TaskStatus status, int code, byte[] result, long serviceMillis) {

	private static final byte[] NO_RESULT = new byte[0];

	/**
	 * Creates the outcome of a running task.
	 * @param index index of the task in its job
	 * @return an outcome without a result
	 */
	public static TaskOutcome running(int index) {
		return new TaskOutcome(index, TaskStatus.RUNNING, 0, NO_RESULT, 0);
	}

	public boolean isDone() {
		return this.status == TaskStatus.DONE;
	}

	/**
	 * Returns whether the endpoint completed the task.
	 * @return {@code true} if the task has ended with {@link ResultCode#COMPLETE}
	 */
	public boolean succeeded() {
		return isDone() && this.code == ResultCode.COMPLETE.number();
	}

}
