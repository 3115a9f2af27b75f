package org.baobabspar.document;

/**
 * A party of an environment document. Immutable.
 *
 * @param name the party
 * @param share the agreed share of the fleet, above 0 and at most 1
 * @param maxWaitingTasks quota of tasks waiting at one entry
 */
public record Party(String name, double share, int maxWaitingTasks) {
}
