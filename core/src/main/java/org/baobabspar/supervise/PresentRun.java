package org.baobabspar.supervise;

/**
 * A run that an endpoint lists as present. Immutable and safe for any thread.
 *
 * @param task the task
 * @param number number of the run
 * @param percent progress of the run, 0 if the endpoint does not report it
 */
public record PresentRun(String task, long number, int percent) {
}
