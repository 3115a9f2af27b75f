package org.baobabspar.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.ToIntFunction;

/**
 * Replays a trace by a scheduler that knows all run times and costs nothing. Whenever a
 * job arrives or a slot frees, it goes through the waiting tasks (the more urgent class
 * first, then by arrival, the longest of a job first) and gives each the slot on which it
 * ends first; a task whose best slot is still busy goes on waiting for it.
 * <p>
 * Used by one thread.
 */
final class Ideal {

	private static final Comparator<Waiting> ORDER = Comparator.comparingInt((Waiting w) -> w.rank)
		.thenComparingLong((w) -> w.job.arrivalMillis())
		.thenComparingInt((w) -> w.job.id())
		.thenComparingInt((w) -> -w.work);

	private final double[] freeAt;

	private final double[] slowness;

	private final int slots;

	private final double[] ends;

	private final List<Waiting> waiting = new ArrayList<>();

	private final PriorityQueue<Double> frees = new PriorityQueue<>();

	private Ideal(int jobs, double[] slowness, int slots) {
		this.freeAt = new double[slowness.length * slots];
		this.slowness = slowness;
		this.slots = slots;
		this.ends = new double[jobs];
	}

	/**
	 * Replay a trace.
	 * @param t the trace
	 * @param slowness slowness of each endpoint
	 * @param slots slots of each endpoint
	 * @param rank urgency of a job's class, the same for all to ignore classes
	 * @return response time of each job, in milliseconds
	 */
	static double[] replay(Trace t, double[] slowness, int slots, ToIntFunction<TraceJob> rank) {
		Ideal x = new Ideal(t.jobs().size(), slowness, slots);
		for (TraceJob j : t.jobs()) {
			x.runUntil(j.arrivalMillis());
			j.workMillis().forEach((w) -> x.waiting.add(new Waiting(j, rank.applyAsInt(j), w)));
			x.waiting.sort(ORDER);
			x.assign(j.arrivalMillis());
		}
		x.runUntil(Double.MAX_VALUE);
		double[] response = new double[x.ends.length];
		t.jobs().forEach((j) -> response[j.id()] = x.ends[j.id()] - j.arrivalMillis());
		return response;
	}

	private void runUntil(double time) {
		while (!this.frees.isEmpty() && this.frees.peek() <= time) {
			assign(this.frees.poll());
		}
	}

	private void assign(double now) {
		double[] reserved = this.freeAt.clone();
		List<Waiting> left = new ArrayList<>();
		boolean idle = true;
		for (Waiting w : this.waiting) {
			if (!idle) {
				left.add(w);
				continue;
			}
			int s = best(reserved, now, w.work);
			boolean free = reserved[s] <= now;
			reserved[s] = Math.max(now, reserved[s]) + w.work * this.slowness[s / this.slots];
			if (free) {
				this.freeAt[s] = reserved[s];
				this.frees.add(reserved[s]);
				this.ends[w.job.id()] = Math.max(this.ends[w.job.id()], reserved[s]);
			}
			else {
				left.add(w);
				idle = anyFree(now);
			}
		}
		this.waiting.clear();
		this.waiting.addAll(left);
	}

	private boolean anyFree(double now) {
		for (double f : this.freeAt) {
			if (f <= now) {
				return true;
			}
		}
		return false;
	}

	private int best(double[] reserved, double now, int work) {
		int best = 0;
		double bestEnd = Double.MAX_VALUE;
		for (int s = 0; s < reserved.length; s++) {
			double end = Math.max(now, reserved[s]) + work * this.slowness[s / this.slots];
			if (end < bestEnd) {
				best = s;
				bestEnd = end;
			}
		}
		return best;
	}

	/**
	 * A task that has not started. Immutable.
	 *
	 * @param job its job
	 * @param rank urgency of its class
	 * @param work its work
	 */
	private record Waiting(TraceJob job, int rank, int work) {
	}

}
