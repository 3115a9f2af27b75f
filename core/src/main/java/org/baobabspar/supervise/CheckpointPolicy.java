package org.baobabspar.supervise;

import java.util.Optional;

/**
 * Decides when an agent stores a checkpoint of its endpoint. Each one is a call to the
 * store, so small changes of the speed are left out and others are stored at most every
 * {@value #SPEED_INTERVAL_MILLIS} ms.
 * <p>
 * Invariant: an endpoint that begins to drain, or is born again, is stored at once. Used
 * on the control thread only.
 */
final class CheckpointPolicy {

	/** Minimum time between two checkpoints that record a change of the speed. */
	static final long SPEED_INTERVAL_MILLIS = 5_000;

	/** Change of the logarithm of the speed that is stored. */
	private static final double LOG_SPEED_CHANGE = 0.15;

	/** The last checkpoint, {@code null} before the first one. */
	private EndpointCheckpoint last;

	private long lastMillis;

	/**
	 * Records the checkpoint that an earlier incarnation of the agent has stored.
	 * @param checkpoint the checkpoint
	 */
	void restored(EndpointCheckpoint checkpoint) {
		this.last = checkpoint;
	}

	/**
	 * Returns the checkpoint to store, if the endpoint has changed enough.
	 * @param endpoint the newest report of the endpoint
	 * @param health the endpoint's health, which knows its speed
	 * @param nowMillis the current time
	 * @return the checkpoint, empty if there is nothing to store
	 */
	Optional<EndpointCheckpoint> next(EndpointReport endpoint, EndpointHealth health, long nowMillis) {
		if (this.last != null && !hasChanged(endpoint, health, nowMillis)) {
			return Optional.empty();
		}
		this.last = new EndpointCheckpoint(endpoint, health.baselineSpeed());
		this.lastMillis = nowMillis;
		return Optional.of(this.last);
	}

	private boolean hasChanged(EndpointReport endpoint, EndpointHealth health, long nowMillis) {
		EndpointReport stored = this.last.report();
		if (stored.bornMillis() != endpoint.bornMillis() || stored.draining() != endpoint.draining()) {
			return true;
		}
		double change = Math.abs(Math.log(health.baselineSpeed() / this.last.baselineSpeed()));
		return health.isBaselineKnown() && change > LOG_SPEED_CHANGE
				&& nowMillis - this.lastMillis > SPEED_INTERVAL_MILLIS;
	}

}
