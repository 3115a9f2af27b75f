package org.baobabspar.supervise;

import org.baobabspar.fleet.Room;
import org.baobabspar.fleet.RunKey;

/**
 * A run that takes room at the endpoint. Invariant: it takes room from before its start
 * is sent until its end is listed, or it is proved that it never started. Used on the
 * control thread only.
 */
final class SupervisedRun {

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

	final Room room;

	final long expectedMillis;

	Phase phase = Phase.STARTING;

	/** Whether the endpoint has ever listed or confirmed it. */
	boolean seen;

	long startedMillis;

	long confirmedMillis;

	long stopSentMillis;

	long stopConfirmedMillis;

	int percent;

	long progressMillis;

	SupervisedRun(RunKey key, Owner owner, Room room, long expectedMillis, long nowMillis) {
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
		if (nowPercent != this.percent) {
			this.percent = nowPercent;
			this.progressMillis = nowMillis;
		}
	}

}
