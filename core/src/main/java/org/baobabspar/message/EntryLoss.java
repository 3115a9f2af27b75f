package org.baobabspar.message;

/**
 * What one entry tells another of an entry that has ended. Immutable.
 *
 * @param ref the entry and its incarnation
 * @param ageMillis how long ago the sender knew it
 */
public record EntryLoss(String ref, long ageMillis) {
}
