package org.baobabspar.document;

/**
 * A class of work of an environment document. Immutable.
 *
 * @param name the class
 * @param urgency rank of urgency, 0 is the most urgent
 * @param queueBoundMillis longest expected wait before a job is refused
 * @param idempotent whether a task may safely be repeated by its caller's mistake; other
 * classes have every attempt checked against the other entries before it starts
 * @param floor fraction of starts that the class keeps while more urgent work waits
 */
public record TaskClass(String name, int urgency, long queueBoundMillis, boolean idempotent, double floor) {

	/** The least urgent rank. */
	public static final int MAX_URGENCY = 31;

}
