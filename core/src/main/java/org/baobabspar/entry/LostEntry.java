package org.baobabspar.entry;

/**
 * An entry whose process has ended, or that was silent for the whole window. Immutable.
 *
 * @param ref the entry and its incarnation
 * @param lostMillis when this was known
 */
record LostEntry(String ref, long lostMillis) {
}
