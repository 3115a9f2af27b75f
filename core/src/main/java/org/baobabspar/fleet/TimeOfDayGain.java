package org.baobabspar.fleet;

import java.util.OptionalLong;

/**
 * Notices when the time of day gains on the monotonic clock, as it does while this VM is
 * suspended and when it is set ahead. A gain therefore proves neither.
 * <p>
 * Invariant: a gain is noticed once. A suspension goes unnoticed if the time of day is
 * set back by as much meanwhile. Not thread-safe.
 */
public final class TimeOfDayGain {

	private final long minGainMillis;

	/** Lead of the time of day over the monotonic clock, once it is known. */
	private long leadMillis;

	private boolean leadKnown;

	/**
	 * Creates an instance.
	 * @param minGainMillis smallest gain to notice
	 */
	public TimeOfDayGain(long minGainMillis) {
		this.minGainMillis = minGainMillis;
	}

	/**
	 * Compares the two clocks.
	 * @param timeOfDayMillis the time of day
	 * @param nowMillis the monotonic clock
	 * @return the gain since the last reading, empty if it is too small
	 */
	public OptionalLong observe(long timeOfDayMillis, long nowMillis) {
		long gainMillis = timeOfDayMillis - nowMillis - this.leadMillis;
		boolean noticed = this.leadKnown && gainMillis > this.minGainMillis;
		this.leadMillis += gainMillis;
		this.leadKnown = true;
		return noticed ? OptionalLong.of(gainMillis) : OptionalLong.empty();
	}

}
