package org.baobabspar.fleet;

import java.util.Objects;

/**
 * One run of a task. A task that is started again gets a higher run number. Immutable and
 * safe for any thread.
 *
 * @param jobId the job
 * @param task name of the task, unique in the fleet
 * @param number number of the run, from 1
 */
public record RunKey(String jobId, String task, long number) {

	/** Check the fields. */
	public RunKey {
		Objects.requireNonNull(jobId);
		Objects.requireNonNull(task);
	}

}
