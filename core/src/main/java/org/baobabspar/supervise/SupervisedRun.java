package org.baobabspar.supervise;

import java.util.OptionalDouble;

import org.baobabspar.fleet.Resources;
import org.baobabspar.fleet.RunKey;

/**
 * A run that takes room at the endpoint. Invariant: it takes room from before its start
 * is sent until its end is listed, or it is proved that it never started. Used on the
 * control thread only.
 */
final class SupervisedRun {

	private static final double MIN_PACE_MILLIS = 100;

	/** How far the run is. */
	enum Phase {

		/** The start is sent. */
		STARTING,

		/** The endpoint has confirmed it. */
		RUNNING,

		/** The start got no answer. */
		UNCERTAIN,

		/** It is being stopped. */
		STOPPING

	}

	final RunKey key;

	final Owner owner;

	final Resources room;

	final long expectedMillis;

	Phase phase = Phase.STARTING;

	/** Whether the endpoint has ever listed or confirmed it. */
	boolean seen;

	long startedMillis;

	long confirmedMillis;

	long stopSentMillis;

	long stopConfirmedMillis;

	/** Whether the endpoint has told how far it is. */
	boolean observed;

	int percent;

	long progressMillis;

	SupervisedRun(RunKey key, Owner owner, Resources room, long expectedMillis, long nowMillis) {
		this.key = key;
		this.owner = owner;
		this.room = room;
		this.expectedMillis = Math.max(1, expectedMillis);
		this.startedMillis = nowMillis;
		this.progressMillis = nowMillis;
	}

	boolean is(String task, long number) {
		return this.key.task().equals(task) && this.key.number() == number;
	}

	void confirm(long nowMillis) {
		if (!this.seen) {
			this.seen = true;
			this.confirmedMillis = nowMillis;
		}
		if (this.phase == Phase.STARTING || this.phase == Phase.UNCERTAIN) {
			this.phase = Phase.RUNNING;
		}
	}

	/**
	 * Take it that the endpoint has begun another lifetime: what was confirmed before
	 * says nothing of it.
	 * @param nowMillis the time
	 */
	void carryOver(long nowMillis) {
		this.confirmedMillis = nowMillis;
		this.stopConfirmedMillis = 0;
	}

	void progress(int nowPercent, long nowMillis) {
		this.observed = true;
		this.percent = nowPercent;
		this.progressMillis = nowMillis;
	}

	/**
	 * Compare the run with what was expected of it by now.
	 * @return work done against work expected, if it has run long enough to tell
	 */
	OptionalDouble pace() {
		double ran = this.progressMillis - this.startedMillis;
		boolean early = ran < MIN_PACE_MILLIS || ran < this.expectedMillis;
		return (early || this.percent <= 0) ? OptionalDouble.empty()
				: OptionalDouble.of(this.percent / 100.0 * this.expectedMillis / ran);
	}

}
