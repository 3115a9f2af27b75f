package org.baobabspar.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/**
 * Bounds the time at which the input that an event loop reads arrived. The loop ticks at
 * an interval, and each iteration of the loop reads what is there before it ticks. A
 * request that is there at a tick is read in the next iteration, or in the one after it
 * if its connection has to be accepted first. So a request that is read now arrived after
 * the third last tick. Example: the loop ticks at 0, 50 and 100 ms, is stopped at 120 ms
 * and resumes at 5,120 ms. The requests that it finds arrived after 0 ms, whether it
 * reads them in its first iteration, or in its second, which may follow a tick at 5,120
 * ms.
 * <p>
 * Invariant: holds for connections of servers that accept all waiting connections in one
 * iteration. Confined to the event loop.
 */
public final class ArrivalClock {

	/** Interval between ticks; three of them are far less than a delay that matters. */
	public static final long TICK_MILLIS = 50;

	private static final int TICKS_UNTIL_READ = 3;

	private final LongSupplier clock;

	/** Times of the last ticks, the oldest first. */
	private final Deque<Long> tickMillis = new ArrayDeque<>();

	/**
	 * Creates the clock of an event loop, before the loop reads anything.
	 * @param clock the monotonic clock, in milliseconds
	 */
	public ArrivalClock(LongSupplier clock) {
		this.clock = clock;
		for (int i = 0; i < TICKS_UNTIL_READ; i++) {
			this.tickMillis.add(clock.getAsLong());
		}
	}

	/** Records that the event loop has read what was there. */
	public void tick() {
		this.tickMillis.remove();
		this.tickMillis.add(this.clock.getAsLong());
	}

	/**
	 * Returns when a request arrived that is being read.
	 * @return the bounds of its arrival
	 */
	public RequestArrival read() {
		return new RequestArrival(this.tickMillis.element(), this.clock.getAsLong());
	}

}
