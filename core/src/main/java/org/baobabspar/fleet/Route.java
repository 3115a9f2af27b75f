package org.baobabspar.fleet;

import java.util.Objects;

/**
 * Maps the jobs submitted to a host and path prefix to a service. Immutable and
 * thread-safe.
 *
 * @param name name of the route
 * @param host host name of the requests
 * @param pathPrefix prefix of the request paths
 * @param service the service whose endpoints run the tasks
 * @param priority scheduling priority; lower values are served first, 0 is the highest
 * priority
 * @param maxAttempts maximum number of failed runs of a task before its job fails
 * @param objectiveFactor part of the response time objective that is proportional to the
 * work of a job
 * @param objectiveBaseMillis constant part of the response time objective
 * @param refusal reason why jobs of this route are refused, empty if they are accepted
 */
public record Route(String name, String host, String pathPrefix, String service, int priority, int maxAttempts,
		double objectiveFactor, long objectiveBaseMillis, String refusal) {

	/** Validates the components. */
	public Route {
		Objects.requireNonNull(name);
		Objects.requireNonNull(host);
		Objects.requireNonNull(pathPrefix);
		Objects.requireNonNull(service);
		Objects.requireNonNull(refusal);
	}

	/**
	 * Returns the response time objective of a job.
	 * @param workMillis expected run time of the job's critical path at nominal speed
	 * @return the objective in milliseconds from the submission
	 */
	public double objectiveMillis(double workMillis) {
		return this.objectiveFactor * workMillis + this.objectiveBaseMillis;
	}

}
