package org.baobabspar.dispatch;

/**
 * The entry and the agent that a fault meets, and the duration of the fault. Not
 * thread-safe.
 */
final class FaultTarget {

	private static final long MIN_STEP_MILLIS = 100;

	private static final long MAX_STEP_MILLIS = 3_000;

	private static final double MIN_SHARE = 0.05;

	private static final double MAX_SHARE = 0.5;

	/** Longest delay of a call that is carried out late. */
	private static final long MAX_LATE_MILLIS = 12_000;

	final Simulation simulation;

	final SimulatedEntry entry;

	final SimulatedAgent agent;

	final long millis;

	FaultTarget(Simulation simulation, SimulatedEntry entry, SimulatedAgent agent, long millis) {
		this.simulation = simulation;
		this.entry = entry;
		this.agent = agent;
		this.millis = millis;
	}

	SimulatedLink link() {
		return this.entry.links.get(this.agent.number);
	}

	/**
	 * Selects the entry or the agent.
	 * @return the process of either
	 */
	SimulatedProcess process() {
		return this.simulation.detailRandom.nextBoolean() ? this.entry.process : this.agent.process;
	}

	long between(long min, long max) {
		return this.simulation.detailBetween(min, max);
	}

	/**
	 * Draws a step of the time of day, ahead or back.
	 * @return the step in milliseconds
	 */
	long stepMillis() {
		long size = between(MIN_STEP_MILLIS, MAX_STEP_MILLIS);
		return this.simulation.detailRandom.nextBoolean() ? size : -size;
	}

	double share() {
		return MIN_SHARE + (MAX_SHARE - MIN_SHARE) * this.simulation.detailRandom.nextDouble();
	}

	/**
	 * Makes calls to the endpoint late or unanswered for the duration of the fault.
	 * @param lateShare share of all calls that are carried out late
	 * @param lateStopShare share of the stops that are carried out late
	 * @param lostAnswerShare share of the calls whose response is lost
	 */
	void makeCallsLate(double lateShare, double lateStopShare, double lostAnswerShare) {
		EndpointConnection connection = this.agent.connection;
		this.simulation.trace("fault", "late calls agent=" + this.agent.number + " share=" + lateShare + " stop_share="
				+ lateStopShare + " lost_answers=" + lostAnswerShare + " millis=" + this.millis);
		connection.minLateMillis = this.simulation.detailRandom.nextBoolean() ? 100 : 2_000;
		connection.maxLateMillis = MAX_LATE_MILLIS;
		connection.lateShare = lateShare;
		connection.lateStopShare = lateStopShare;
		connection.lostAnswerShare = lostAnswerShare;
		this.simulation.scheduleAfter(this.millis, () -> {
			connection.lateShare = 0;
			connection.lateStopShare = 0;
			connection.lostAnswerShare = 0;
		});
	}

	/**
	 * Kills the endpoint and starts another incarnation, which reports a little later.
	 * @param underNewId whether the id changes
	 * @param withNewClock whether the clock begins at 0 again
	 */
	void restartEndpoint(boolean underNewId, boolean withNewClock) {
		SimulatedEndpoint endpoint = this.agent.endpoint;
		if (!endpoint.up()) {
			return;
		}
		endpoint.kill();
		this.simulation.scheduleAfter(between(0, 600), () -> {
			endpoint.restart(underNewId, withNewClock);
			this.simulation.scheduleAfter(between(5, 600), this.agent::report);
		});
	}

}
