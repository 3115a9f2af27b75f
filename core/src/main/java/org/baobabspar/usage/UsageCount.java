package org.baobabspar.usage;

/**
 * Cumulative use under one key and one agent incarnation. Immutable.
 * <p>
 * Invariant: every component only grows, so the maximum of two reports is the later one
 * and merging is idempotent, commutative and associative.
 *
 * @param slotMillis slot time used, in milliseconds
 * @param completed tasks that ended well
 * @param failed tasks that the endpoint failed
 */
public record UsageCount(long slotMillis, long completed, long failed) {

	/** No use. */
	public static final UsageCount NONE = new UsageCount(0, 0, 0);

	/**
	 * Merge two reports of the same counter.
	 * @param other the other report
	 * @return the later of both
	 */
	public UsageCount max(UsageCount other) {
		return new UsageCount(Math.max(this.slotMillis, other.slotMillis), Math.max(this.completed, other.completed),
				Math.max(this.failed, other.failed));
	}

	/**
	 * Add the use of another incarnation.
	 * @param other the other counter
	 * @return the sum
	 */
	public UsageCount plus(UsageCount other) {
		return new UsageCount(this.slotMillis + other.slotMillis, this.completed + other.completed,
				this.failed + other.failed);
	}

	/**
	 * Count one ended task.
	 * @param serviceMillis its slot time
	 * @param success whether it ended well
	 * @return the raised counter
	 */
	public UsageCount plusTask(long serviceMillis, boolean success) {
		return new UsageCount(this.slotMillis + serviceMillis, this.completed + (success ? 1 : 0),
				this.failed + (success ? 0 : 1));
	}

}
