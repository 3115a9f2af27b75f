package org.baobabspar.supervise;

import org.baobabspar.fleet.RunEnd;

/**
 * A run that an endpoint lists as ended. Immutable and safe for any thread.
 *
 * @param sequence increases with each end within an incarnation of the endpoint
 * @param task the task
 * @param number number of the run
 * @param end how the run ended
 */
public record EndedRun(long sequence, String task, long number, RunEnd end) {
}
