package org.baobabspar.message;

/**
 * Reports a terminated entry to another entry. Immutable.
 *
 * @param ref id and incarnation of the terminated entry
 * @param ageMillis time since the sender learned of the loss
 */
public record EntryLoss(String ref, long ageMillis) {
}
