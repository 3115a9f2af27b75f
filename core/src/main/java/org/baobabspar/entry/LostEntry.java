package org.baobabspar.entry;

/**
 * An entry whose process has terminated or that was silent for the whole window.
 * Immutable.
 *
 * @param ref the reference of the entry, including its incarnation
 * @param lostMillis when the loss was detected
 */
record LostEntry(String ref, long lostMillis) {
}
