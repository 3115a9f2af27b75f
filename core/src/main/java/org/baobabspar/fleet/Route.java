package org.baobabspar.fleet;

/**
 * Sends the jobs under a host and path to a service. Immutable and safe for any thread.
 *
 * @param name its name
 * @param host host that callers name
 * @param pathPrefix what the path begins with
 * @param service the service whose endpoints run the tasks
 * @param priority 0 is served first
 * @param maxAttempts runs of a task that may fail before its job fails
 * @param objectiveFactor share of the objective that grows with the work
 * @param objectiveBaseMillis share of the objective that does not
 * @param refusal why jobs of this route are not taken, empty if they are
 */
public record Route(String name, String host, String pathPrefix, String service, int priority, int maxAttempts,
		double objectiveFactor, long objectiveBaseMillis, String refusal) {

	/**
	 * Give the time in which a job should be answered.
	 * @param workMillis its longest chain of work at speed 1
	 * @return milliseconds from its submission
	 */
	public double objectiveMillis(double workMillis) {
		return this.objectiveFactor * workMillis + this.objectiveBaseMillis;
	}

}
