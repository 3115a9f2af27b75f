package org.baobabspar.dispatch;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.function.LongSupplier;

/**
 * Bounds the time at which the input that an event loop reads arrived, and with
 * {@link PathSilence} the time at which it was sent. The loop ticks at an interval, and
 * each iteration of the loop reads what is there before it ticks. A request that is there
 * at a tick is read in the next iteration, or in the one after it if its connection has
 * to be accepted first. So a request that is read now arrived after the third last tick.
 * Example: the loop ticks at 0, 50 and 100 ms, is stopped at 120 ms and resumes at 5,120
 * ms. The requests that it finds arrived after 0 ms, whether it reads them in its first
 * iteration, or in its second, which may follow a tick at 5,120 ms.
 * <p>
 * After a stop many requests wait, and a loop that takes long for each reads them in many
 * iterations. What is read within {@value #BACKLOG_MILLIS} ms after a stop may therefore
 * have arrived before it, until the loop has found nothing to read at several ticks. In a
 * rush one stop may follow the other, and each counts for that long only.
 * <p>
 * Invariant: holds for connections of servers that accept all waiting connections in one
 * iteration. Confined to the event loop.
 */
public final class ArrivalClock {

	/** Interval between ticks; three of them are far less than a delay that matters. */
	public static final long TICK_MILLIS = 50;

	private static final int TICKS_UNTIL_READ = 3;

	/** Interval from which on the loop was stopped. */
	private static final long STOP_MILLIS = 300;

	/** Time after a stop within which all that waited is read. */
	private static final long BACKLOG_MILLIS = 1_000;

	private final LongSupplier clock;

	private final PathSilence silence;

	/** Stops of the loop after which not all that waited has been read. */
	private final Deque<Backlog> backlogs = new ArrayDeque<>();

	private boolean readSinceTick;

	/** Ticks in a row, since the last stop, before which nothing was read. */
	private int quietTicks;

	/** Times of the last ticks, the oldest first. */
	private final long[] tickMillis = new long[TICKS_UNTIL_READ];

	/**
	 * Creates the clock of an event loop, before the loop reads anything.
	 * @param clock the monotonic clock, in milliseconds
	 */
	public ArrivalClock(LongSupplier clock) {
		this.clock = clock;
		long nowMillis = clock.getAsLong();
		Arrays.fill(this.tickMillis, nowMillis);
		this.silence = new PathSilence(nowMillis);
	}

	/** Records that the event loop has read what was there. */
	public void tick() {
		long nowMillis = this.clock.getAsLong();
		long intervalMillis = nowMillis - this.tickMillis[TICKS_UNTIL_READ - 1];
		if (intervalMillis > STOP_MILLIS) {
			this.backlogs.add(new Backlog(this.tickMillis[0], nowMillis + BACKLOG_MILLIS));
			this.quietTicks = 0;
		}
		System.arraycopy(this.tickMillis, 1, this.tickMillis, 0, TICKS_UNTIL_READ - 1);
		this.tickMillis[TICKS_UNTIL_READ - 1] = nowMillis;
		this.quietTicks = this.readSinceTick ? 0 : this.quietTicks + 1;
		this.readSinceTick = false;
		if (this.quietTicks >= TICKS_UNTIL_READ) {
			this.backlogs.clear();
		}
	}

	private long earliestArrivalMillis(long nowMillis) {
		while (!this.backlogs.isEmpty() && this.backlogs.peek().untilMillis < nowMillis) {
			this.backlogs.remove();
		}
		return this.backlogs.isEmpty() ? this.tickMillis[0] : this.backlogs.peek().sinceMillis;
	}

	/**
	 * Records that a connection has been accepted.
	 * @return the earliest time at which its client may have sent anything on it
	 */
	public long accept() {
		long nowMillis = this.clock.getAsLong();
		this.silence.recordRead(nowMillis);
		return earliestArrivalMillis(nowMillis);
	}

	/**
	 * Returns the time of the clock.
	 * @return the current time
	 */
	public long now() {
		return this.clock.getAsLong();
	}

	/** Records that a part of a request has been read. */
	public void readPart() {
		this.silence.recordRead(this.clock.getAsLong());
	}

	/**
	 * Returns when a request arrived that is being read, and when it was sent.
	 * @param quietSinceMillis since when the connection has had no request without an
	 * answer
	 * @return the bounds of its arrival
	 */
	public RequestArrival read(long quietSinceMillis) {
		this.readSinceTick = true;
		long nowMillis = this.clock.getAsLong();
		this.silence.recordRead(nowMillis);
		long earliestMillis = earliestArrivalMillis(nowMillis);
		return new RequestArrival(this.silence.earliestSentMillis(quietSinceMillis, nowMillis), earliestMillis,
				nowMillis);
	}

	/**
	 * What waited while the loop was stopped.
	 *
	 * @param sinceMillis the earliest time at which it arrived
	 * @param untilMillis when all of it has been read
	 */
	private record Backlog(long sinceMillis, long untilMillis) {
	}

}
