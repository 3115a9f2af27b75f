package org.baobabspar.supervise;

import org.baobabspar.fleet.RunEnd;

/**
 * A run that an endpoint lists as ended. Immutable and safe for any thread.
 *
 * @param sequence rises with each end of a lifetime
 * @param task the task
 * @param number number of the run
 * @param end how it ended
 */
public record EndedRun(long sequence, String task, long number, RunEnd end) {
}
