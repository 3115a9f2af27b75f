package org.baobabspar.supervise;

import java.util.OptionalDouble;

import org.baobabspar.fleet.Resources;
import org.baobabspar.fleet.RunKey;

/**
 * A run that takes room at the endpoint. Invariant: it takes room from before its start
 * is sent until its end is listed or it is certain that it never started. Used on the
 * control thread only.
 */
final class SupervisedRun {

	private static final double MIN_PACE_MILLIS = 100;

	/** Phases of a run, as far as the agent knows. */
	enum Phase {

		/** The start is in flight. */
		STARTING,

		/** The endpoint has confirmed the start. */
		RUNNING,

		/** The start got no answer. */
		UNCERTAIN,

		/** A stop is in flight, or confirmed while the end is not listed yet. */
		STOPPING

	}

	final RunKey key;

	final EntrySession owner;

	final Resources room;

	final long expectedMillis;

	Phase phase = Phase.STARTING;

	/** Whether the endpoint has ever listed the run or confirmed its start. */
	boolean confirmed;

	long startedMillis;

	long confirmedMillis;

	long stopSentMillis;

	long stopConfirmedMillis;

	/** Id of the endpoint to which the start was sent. */
	String endpointId = "";

	/** Fencing token of the start. */
	long fencingToken;

	/**
	 * When the agent attached to a successor of the incarnation to which the start was
	 * sent, 0 before that. Calls sent later carry a higher fencing token than the start.
	 */
	long predecessorEndedMillis;

	private long latestEndMillis = Long.MAX_VALUE;

	/** Whether the endpoint has reported the progress of the run. */
	boolean progressReported;

	int progressPercent;

	long lastProgressMillis;

	SupervisedRun(RunKey key, EntrySession owner, Resources room, long expectedMillis, long nowMillis) {
		this.key = key;
		this.owner = owner;
		this.room = room;
		this.expectedMillis = Math.max(1, expectedMillis);
		this.startedMillis = nowMillis;
		this.lastProgressMillis = nowMillis;
	}

	/**
	 * Returns when the run must end unless its owner extends its lease before. The owner
	 * may start the task elsewhere some time later; see {@link LeaseTimes}.
	 * @return the end of the owner's lease, without extensions after
	 * {@link #excludeFromLaterGrants()}
	 */
	long mustEndMillis() {
		return Math.min(this.latestEndMillis, this.owner.leaseUntilMillis);
	}

	/**
	 * Excludes the run from later extensions of its owner's lease, since the owner no
	 * longer waits for its end or may have given it up.
	 */
	void excludeFromLaterGrants() {
		this.latestEndMillis = mustEndMillis();
	}

	boolean matches(String task, long number) {
		return this.key.task().equals(task) && this.key.number() == number;
	}

	void confirm(long nowMillis) {
		if (!this.confirmed) {
			this.confirmed = true;
			this.confirmedMillis = nowMillis;
		}
		if (this.phase == Phase.STARTING || this.phase == Phase.UNCERTAIN) {
			this.phase = Phase.RUNNING;
		}
	}

	/**
	 * Invalidates earlier confirmations, since they came from another incarnation of the
	 * endpoint and say nothing about the current one.
	 * @param nowMillis the current time
	 */
	void invalidateConfirmations(long nowMillis) {
		this.predecessorEndedMillis = nowMillis;
		this.stopConfirmedMillis = 0;
	}

	void recordProgress(int percent, long nowMillis) {
		this.progressReported = true;
		this.progressPercent = percent;
		this.lastProgressMillis = nowMillis;
	}

	/**
	 * Returns when the run should have ended at nominal speed.
	 * @return the time
	 */
	long overdueMillis() {
		return this.startedMillis + this.expectedMillis;
	}

	/**
	 * Returns the pace of the run: the work done divided by the work expected by now.
	 * @return the pace, empty if the run has not been running long enough to tell
	 */
	OptionalDouble pace() {
		double ranMillis = this.lastProgressMillis - this.startedMillis;
		boolean early = ranMillis < MIN_PACE_MILLIS || ranMillis < this.expectedMillis;
		return (early || this.progressPercent <= 0) ? OptionalDouble.empty()
				: OptionalDouble.of(this.progressPercent / 100.0 * this.expectedMillis / ranMillis);
	}

}
