package org.baobabspar.fleet;

import java.util.List;
import java.util.Objects;

/**
 * Equal tasks of a job that may start together. Immutable and safe for any thread.
 *
 * @param count how many tasks
 * @param resources what each needs
 * @param estimateMillis rough run time of a task at speed 1
 * @param dependsOn numbers of the steps that must be done first
 * @param requiredLabel label that the endpoint must have, or empty
 * @param dataRack rack that is near the data, or empty
 * @param maxPerEndpoint at most so many tasks on one endpoint, 0 for any number
 */
public record Step(int count, Resources resources, long estimateMillis, List<Integer> dependsOn, String requiredLabel,
		String dataRack, int maxPerEndpoint) {

	/** Check the fields. */
	public Step {
		Objects.requireNonNull(resources);
		dependsOn = List.copyOf(dependsOn);
	}

}
