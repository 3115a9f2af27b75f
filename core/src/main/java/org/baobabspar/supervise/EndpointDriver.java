package org.baobabspar.supervise;

import org.baobabspar.fleet.RunKey;

/**
 * Sends calls to the agent's endpoint. Methods return at once; answers are delivered to
 * {@link RunSupervisor} on the control thread. Every call gets exactly one answer, within
 * a bounded time.
 * <p>
 * A lease is given by its end, counted from the time at which the supervisor decided. The
 * process may stand still between the decision and the call, and a duration would then be
 * counted from a later time, at which the decision no longer holds.
 */
public interface EndpointDriver {

	/**
	 * Directs all further calls to another incarnation of the endpoint.
	 * @param report report of the incarnation
	 */
	void attach(EndpointReport report);

	/**
	 * Starts a run, which also extends the endpoint's lease.
	 * @param run the run
	 * @param payload passed to the task
	 * @param leaseUntilMillis end of the lease for all runs at the endpoint, by the
	 * agent's clock. The endpoint refuses a start that arrives later.
	 * @param fencingToken fencing token
	 */
	void start(RunKey run, String payload, long leaseUntilMillis, long fencingToken);

	/**
	 * Stops a run, or ensures that it never starts.
	 * @param task the task
	 * @param number number of the run
	 * @param fencingToken fencing token
	 */
	void stop(String task, long number, long fencingToken);

	/**
	 * Asks which runs are present and which have ended.
	 * @param leaseUntilMillis end of the lease for all runs at the endpoint, by the
	 * agent's clock, 0 to leave the lease unchanged
	 * @param confirmedEnds sequence up to which ends are known and need not be listed
	 * again
	 * @param waitMillis how long the endpoint may wait for an end before it answers
	 * @param fencingToken fencing token
	 */
	void poll(long leaseUntilMillis, long confirmedEnds, long waitMillis, long fencingToken);

	/**
	 * Asks the same for an immediate answer, on another connection and without extending
	 * the lease.
	 * @param confirmedEnds sequence up to which ends are known and need not be listed
	 * again
	 * @param fencingToken fencing token
	 */
	void probe(long confirmedEnds, long fencingToken);

}
