package org.baobabspar.fleet;

import java.util.List;
import java.util.Objects;

/**
 * A job as submitted by a caller. Immutable and thread-safe.
 *
 * @param id id chosen by the caller; submissions with the same id are the same job
 * @param payload the payload passed to every task
 * @param steps the steps of the job; a step depends on earlier steps only
 */
public record JobSubmission(String id, String payload, List<Step> steps) {

	/** Maximum number of tasks in one job, summed over its steps. */
	public static final int MAX_TASKS = 1_200;

	public JobSubmission {
		Objects.requireNonNull(id);
		Objects.requireNonNull(payload);
		steps = List.copyOf(steps);
	}

	/**
	 * Returns the total number of tasks.
	 * @return the number of tasks in all steps
	 */
	public long taskCount() {
		return this.steps.stream().mapToLong(Step::count).sum();
	}

	/**
	 * Validates the task counts and the dependencies between the steps.
	 * @return {@code true} if the job has at least one step and at most
	 * {@link #MAX_TASKS} tasks, and every step has at least one task and depends on
	 * earlier steps only
	 */
	public boolean isValid() {
		if (this.steps.isEmpty() || taskCount() > MAX_TASKS) {
			return false;
		}
		for (int i = 0; i < this.steps.size(); i++) {
			int stepIndex = i;
			Step step = this.steps.get(i);
			if (step.count() < 1 || step.dependsOn().stream().anyMatch((d) -> d < 0 || d >= stepIndex)) {
				return false;
			}
		}
		return true;
	}

}
