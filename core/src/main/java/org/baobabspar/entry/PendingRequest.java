package org.baobabspar.entry;

/**
 * The request of a caller that waits for the answer to a job. Immutable.
 *
 * @param requestId the identifier of the request
 * @param attempt the attempt that the caller declared, or 0 for none
 */
record PendingRequest(long requestId, int attempt) {
}
