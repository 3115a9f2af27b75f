package org.baobabspar.entry;

import org.baobabspar.model.Claim;

/**
 * The highest claim on a job that this entry has promised to give way to. Immutable.
 *
 * @param claim the claim
 * @param fencedMillis when the promise was given
 */
record FencedKey(Claim claim, long fencedMillis) {
}
