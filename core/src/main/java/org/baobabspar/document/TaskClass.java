package org.baobabspar.document;

/**
 * A task class in an environment document. Immutable.
 *
 * @param name name of the class
 * @param urgency urgency rank; 0 is the most urgent
 * @param queueBoundMillis maximum expected queueing time; jobs that would exceed it are
 * refused
 * @param idempotent whether it is harmless if a caller resubmits a task by mistake; for
 * other classes, every attempt is checked with the other entries before it starts
 * @param floor fraction of the task starts that is guaranteed to the class while more
 * urgent tasks are waiting
 */
public record TaskClass(String name, int urgency, long queueBoundMillis, boolean idempotent, double floor) {

	/** Rank of the least urgent class. */
	public static final int MAX_URGENCY = 31;

}
