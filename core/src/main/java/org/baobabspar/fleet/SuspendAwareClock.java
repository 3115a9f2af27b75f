package org.baobabspar.fleet;

import java.util.function.LongSupplier;

/**
 * A monotonic clock in milliseconds that includes the time for which the machine was
 * suspended, which the monotonic clock of the JVM excludes. If the wall clock advances by
 * more than the monotonic clock, the difference counts as suspended time. Setting the
 * wall clock forward has the same effect; leases then expire early, which is safe.
 * <p>
 * Thread-safe.
 */
public final class SuspendAwareClock {

	/** Minimum suspension; smaller differences are drift between the clocks. */
	private static final long MIN_SUSPENSION_MILLIS = 100;

	private final LongSupplier monotonicMillis;

	private final LongSupplier wallMillis;

	private long lastMonotonicMillis;

	private long lastWallMillis;

	private long suspendedMillis;

	/**
	 * Creates a clock.
	 * @param monotonicMillis the monotonic clock
	 * @param wallMillis the wall clock
	 */
	public SuspendAwareClock(LongSupplier monotonicMillis, LongSupplier wallMillis) {
		this.monotonicMillis = monotonicMillis;
		this.wallMillis = wallMillis;
		this.lastMonotonicMillis = monotonicMillis.getAsLong();
		this.lastWallMillis = wallMillis.getAsLong();
	}

	/**
	 * Creates a clock that reads the clocks of the system.
	 * @return the clock
	 */
	public static SuspendAwareClock system() {
		return new SuspendAwareClock(() -> System.nanoTime() / 1_000_000, System::currentTimeMillis);
	}

	/**
	 * Returns the current time.
	 * @return milliseconds since an arbitrary origin
	 */
	public synchronized long now() {
		long monotonic = this.monotonicMillis.getAsLong();
		long wall = this.wallMillis.getAsLong();
		long excess = (wall - this.lastWallMillis) - (monotonic - this.lastMonotonicMillis);
		if (excess > MIN_SUSPENSION_MILLIS) {
			this.suspendedMillis += excess;
		}
		if (Math.abs(excess) > MIN_SUSPENSION_MILLIS || monotonic - this.lastMonotonicMillis > 1_000) {
			this.lastMonotonicMillis = monotonic;
			this.lastWallMillis = wall;
		}
		return monotonic + this.suspendedMillis;
	}

}
