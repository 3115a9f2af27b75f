package org.baobabspar.node;

import java.util.function.LongSupplier;

/**
 * A clock in milliseconds that never goes back and counts the time for which the machine
 * was suspended, which the steady clock leaves out. When the time of day moves on by more
 * than the steady clock, the difference counts as suspended time. A time of day that is
 * set forward looks the same; leases then lapse early, which is safe.
 * <p>
 * Safe for any thread.
 */
public final class SuspendAwareClock {

	/** Smaller differences are drift between the clocks. */
	private static final long SUSPENDED_MILLIS = 100;

	private final LongSupplier steadyMillis;

	private final LongSupplier dayMillis;

	private long lastSteadyMillis;

	private long lastDayMillis;

	private long suspendedMillis;

	/**
	 * Create a clock.
	 * @param steadyMillis the steady clock
	 * @param dayMillis the time of day
	 */
	public SuspendAwareClock(LongSupplier steadyMillis, LongSupplier dayMillis) {
		this.steadyMillis = steadyMillis;
		this.dayMillis = dayMillis;
		this.lastSteadyMillis = steadyMillis.getAsLong();
		this.lastDayMillis = dayMillis.getAsLong();
	}

	/**
	 * Create a clock of this process.
	 * @return the clock
	 */
	public static SuspendAwareClock system() {
		return new SuspendAwareClock(() -> System.nanoTime() / 1_000_000, System::currentTimeMillis);
	}

	/**
	 * Return the time.
	 * @return milliseconds
	 */
	public synchronized long now() {
		long steady = this.steadyMillis.getAsLong();
		long day = this.dayMillis.getAsLong();
		long more = (day - this.lastDayMillis) - (steady - this.lastSteadyMillis);
		if (more > SUSPENDED_MILLIS) {
			this.suspendedMillis += more;
		}
		if (Math.abs(more) > SUSPENDED_MILLIS || steady - this.lastSteadyMillis > 1_000) {
			this.lastSteadyMillis = steady;
			this.lastDayMillis = day;
		}
		return steady + this.suspendedMillis;
	}

}
