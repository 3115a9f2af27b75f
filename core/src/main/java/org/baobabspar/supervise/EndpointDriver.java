package org.baobabspar.supervise;

import org.baobabspar.fleet.RunKey;

/**
 * Calls to the agent's endpoint. Calls return at once; answers come back to
 * {@link RunSupervisor} on the control thread. Every call gets exactly one answer, within
 * a bound.
 */
public interface EndpointDriver {

	/**
	 * Speak to another lifetime from now on.
	 * @param report the lifetime
	 */
	void attach(EndpointReport report);

	/**
	 * Start a run, which also extends the endpoint's lease.
	 * @param run the run
	 * @param payload given to the task
	 * @param leaseMillis how long everything at the endpoint may run on
	 * @param fence fencing token
	 */
	void start(RunKey run, String payload, long leaseMillis, long fence);

	/**
	 * Stop a run, or make sure that it never starts.
	 * @param task the task
	 * @param number number of the run
	 * @param fence fencing token
	 */
	void stop(String task, long number, long fence);

	/**
	 * Ask what is present and what has ended.
	 * @param leaseMillis how long everything at the endpoint may run on, 0 to leave the
	 * lease as it is
	 * @param confirmed ends up to this one are known and may be forgotten
	 * @param waitMillis how long the endpoint may wait for an end before it answers
	 * @param fence fencing token
	 */
	void poll(long leaseMillis, long confirmed, long waitMillis, long fence);

	/**
	 * Ask the same at once, on another connection, and leave the lease as it is.
	 * @param confirmed ends up to this one are known and may be forgotten
	 * @param fence fencing token
	 */
	void probe(long confirmed, long fence);

}
