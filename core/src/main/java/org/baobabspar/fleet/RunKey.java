package org.baobabspar.fleet;

import java.util.Objects;

/**
 * Identifies one run of a task. Each new run of the same task has a higher run number, so
 * an endpoint can reject a delayed start of an earlier run. Immutable and thread-safe.
 *
 * @param jobId id of the job
 * @param task name of the task, unique in the fleet
 * @param number number of the run, from 1
 */
public record RunKey(String jobId, String task, long number) {

	public RunKey {
		Objects.requireNonNull(jobId);
		Objects.requireNonNull(task);
	}

}
