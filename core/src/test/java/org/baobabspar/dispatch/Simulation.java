package org.baobabspar.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * The simulated time and the events of one simulation, with the log lines of all its
 * parts.
 * <p>
 * Invariants: time never goes back; events of the same time happen in the order in which
 * they were scheduled; the history depends only on the seed. Not thread-safe.
 */
final class Simulation {

	private static final long START_MILLIS = 100_000;

	/** Decides what happens, such as which faults are injected. */
	final Random random;

	/** Decides the details of faults, apart from the order in which they happen. */
	final Random detailRandom;

	/** Log lines, each with its simulated time. */
	final List<String> trace = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private long nowMillis = START_MILLIS;

	private long nextEventSequence;

	Simulation(long seed) {
		this.random = new Random(seed);
		this.detailRandom = new Random(seed ^ 0x5DEECE66DL);
	}

	long nowMillis() {
		return this.nowMillis;
	}

	void schedule(long atMillis, Runnable action) {
		this.events.add(new Event(Math.max(atMillis, this.nowMillis), this.nextEventSequence++, action));
	}

	void scheduleAfter(long delayMillis, Runnable action) {
		schedule(this.nowMillis + delayMillis, action);
	}

	void runUntil(long endMillis) {
		while (!this.events.isEmpty() && this.events.peek().atMillis <= endMillis) {
			Event event = this.events.remove();
			this.nowMillis = event.atMillis;
			event.action.run();
		}
	}

	void trace(String source, String line) {
		this.trace.add(this.nowMillis + " " + source + " " + line);
	}

	/**
	 * Draws a detail of a fault.
	 * @param min the lowest value
	 * @param max the highest value
	 * @return a value between both
	 */
	long detailBetween(long min, long max) {
		return min + (long) (this.detailRandom.nextDouble() * (max - min + 1));
	}

	private record Event(long atMillis, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			return (this.atMillis != other.atMillis) ? Long.compare(this.atMillis, other.atMillis)
					: Long.compare(this.sequence, other.sequence);
		}

	}

}
