package org.baobabspar.usage;

/**
 * Cumulative usage under one key at one agent incarnation. Immutable.
 * <p>
 * Invariant: the components never decrease over time, so the maximum of two reports is
 * the later one, and merging is idempotent, commutative and associative.
 *
 * @param slotMillis occupied slot time
 * @param completed number of completed tasks
 * @param failed number of tasks that the endpoint reported as failed
 */
public record UsageCount(long slotMillis, long completed, long failed) {

	/** No usage. */
	public static final UsageCount NONE = new UsageCount(0, 0, 0);

	/**
	 * Merges two reports of the same counter.
	 * @param other the other report
	 * @return the later of the two reports
	 */
	public UsageCount max(UsageCount other) {
		return new UsageCount(Math.max(this.slotMillis, other.slotMillis), Math.max(this.completed, other.completed),
				Math.max(this.failed, other.failed));
	}

	/**
	 * Adds the usage of another agent incarnation.
	 * @param other the other counter
	 * @return the sum
	 */
	public UsageCount plus(UsageCount other) {
		return new UsageCount(this.slotMillis + other.slotMillis, this.completed + other.completed,
				this.failed + other.failed);
	}

	/**
	 * Adds one ended task.
	 * @param serviceMillis slot time occupied by the task
	 * @param success whether the task completed
	 * @return the incremented counter
	 */
	public UsageCount plusTask(long serviceMillis, boolean success) {
		return new UsageCount(this.slotMillis + serviceMillis, this.completed + (success ? 1 : 0),
				this.failed + (success ? 0 : 1));
	}

}
