package org.baobabspar.entry;

import org.baobabspar.model.Claim;

/**
 * The highest claim on a job that this entry has promised to give way to. Immutable.
 *
 * @param claim the claim
 * @param promisedMillis when the promise was given
 */
record ClaimPromise(Claim claim, long promisedMillis) {
}
