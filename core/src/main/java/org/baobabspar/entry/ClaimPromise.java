package org.baobabspar.entry;

import org.baobabspar.model.Claim;

/**
 * A promise to refuse claims on a job that are lower than a given one. Immutable.
 *
 * @param claim the highest claim promised to
 * @param promisedMillis when the promise was made
 */
record ClaimPromise(Claim claim, long promisedMillis) {
}
