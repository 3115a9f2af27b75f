package org.baobabspar.entry;

/**
 * A caller that waits for a job. Immutable.
 *
 * @param requestId the caller's request
 * @param attempt the attempt that it declared, 0 for none
 */
record PendingRequest(long requestId, int attempt) {
}
