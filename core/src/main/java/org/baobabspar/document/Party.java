package org.baobabspar.document;

/**
 * A customer in an environment document. Immutable.
 *
 * @param name name of the customer
 * @param share agreed share of the fleet, greater than 0 and at most 1
 * @param maxWaitingTasks maximum number of the customer's tasks waiting at one entry
 */
public record Party(String name, double share, int maxWaitingTasks) {
}
