package org.baobabspar.supervise;

import org.baobabspar.fleet.TimeOfDayGain;

/**
 * Holds back starts while this VM may have been suspended without any peer having shown
 * it yet. The time of day counts a suspension and the monotonic clock doesn't, so the
 * former then gains on the latter. The time of day may also have been set ahead, so a
 * gain proves nothing: it ends neither a lease nor a wait, and starts resume with the
 * endpoint's next answer. Example: a start waited in a buffer during the suspension, and
 * the endpoint was born again under its id meanwhile. Neither the deadline of the start
 * nor its fencing token keeps it out of the new incarnation, and its entry may have
 * started the task elsewhere.
 * <p>
 * Invariant: a doubt ends only with the answer to a probe that was sent after it arose. A
 * suspension goes unnoticed if the time of day is set back by as much meanwhile. Used on
 * the control thread only.
 */
final class PossibleSuspension {

	private final TimeOfDayGain timeOfDay;

	private boolean doubtful;

	/** Whether the probe in flight was sent after the doubt arose. */
	private boolean probed;

	PossibleSuspension(long minGainMillis) {
		this.timeOfDay = new TimeOfDayGain(minGainMillis);
	}

	/**
	 * Compares the two clocks.
	 * @param timeOfDayMillis the time of day
	 * @param nowMillis the monotonic clock
	 * @return whether a doubt arises
	 */
	boolean observe(long timeOfDayMillis, long nowMillis) {
		boolean arises = this.timeOfDay.observe(timeOfDayMillis, nowMillis).isPresent();
		if (arises) {
			this.doubtful = true;
			this.probed = false;
		}
		return arises;
	}

	boolean doubtful() {
		return this.doubtful;
	}

	void probeSent() {
		this.probed = this.doubtful;
	}

	void probeAnswered() {
		if (this.probed) {
			this.doubtful = false;
		}
	}

}
