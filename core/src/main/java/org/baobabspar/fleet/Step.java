package org.baobabspar.fleet;

import java.util.List;
import java.util.Objects;

/**
 * A group of identical tasks of a job that have the same dependencies and may run
 * concurrently. Immutable and thread-safe.
 *
 * @param count number of tasks
 * @param resources resources required by each task
 * @param estimateMillis rough estimate of the run time of a task at nominal speed
 * @param dependsOn indexes of the steps that must complete first
 * @param requiredLabel label that the endpoint must have, empty for none
 * @param dataRack rack close to the input data, empty for none
 * @param maxPerEndpoint maximum number of the tasks on one endpoint, 0 for no limit
 */
public record Step(int count, Resources resources, long estimateMillis, List<Integer> dependsOn, String requiredLabel,
		String dataRack, int maxPerEndpoint) {

	public Step {
		Objects.requireNonNull(resources);
		dependsOn = List.copyOf(dependsOn);
	}

}
