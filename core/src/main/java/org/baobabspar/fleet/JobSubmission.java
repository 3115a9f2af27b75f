package org.baobabspar.fleet;

import java.util.List;
import java.util.Objects;

/**
 * A job as a caller hands it in. Immutable and safe for any thread.
 *
 * @param id chosen by the caller; the same id is the same job
 * @param payload given to each task
 * @param steps its steps; each depends only on earlier ones
 */
public record JobSubmission(String id, String payload, List<Step> steps) {

	/** Most tasks of one job. */
	public static final int MAX_TASKS = 1_200;

	/** Check the fields. */
	public JobSubmission {
		Objects.requireNonNull(id);
		Objects.requireNonNull(payload);
		steps = List.copyOf(steps);
	}

	/**
	 * Count the tasks.
	 * @return the number of tasks of all steps
	 */
	public long taskCount() {
		return this.steps.stream().mapToLong(Step::count).sum();
	}

	/**
	 * Check what the types cannot.
	 * @return whether every step has tasks and depends only on earlier steps
	 */
	public boolean isValid() {
		if (this.steps.isEmpty() || taskCount() > MAX_TASKS) {
			return false;
		}
		for (int i = 0; i < this.steps.size(); i++) {
			int number = i;
			Step s = this.steps.get(i);
			if (s.count() < 1 || s.dependsOn().stream().anyMatch((d) -> d < 0 || d >= number)) {
				return false;
			}
		}
		return true;
	}

}
