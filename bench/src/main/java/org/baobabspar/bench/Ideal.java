package org.baobabspar.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Replays a trace by a scheduler that knows all run times and costs nothing: jobs in the
 * order of arrival, the longest task of a job first, each task on the slot on which it
 * ends first. Stateless and safe for any thread.
 */
final class Ideal {

	private Ideal() {
	}

	/**
	 * Replay a trace.
	 * @param t the trace
	 * @param slowness slowness of each endpoint
	 * @param slots slots of each endpoint
	 * @return response time of each job, in milliseconds
	 */
	static double[] replay(Trace t, double[] slowness, int slots) {
		double[] freeAt = new double[slowness.length * slots];
		double[] response = new double[t.jobs().size()];
		for (TraceJob j : t.jobs()) {
			List<Integer> work = new ArrayList<>(j.workMillis());
			work.sort(Comparator.reverseOrder());
			double end = 0;
			for (int w : work) {
				end = Math.max(end, place(freeAt, slowness, slots, j.arrivalMillis(), w));
			}
			response[j.id()] = end - j.arrivalMillis();
		}
		return response;
	}

	private static double place(double[] freeAt, double[] slowness, int slots, long now, int work) {
		int best = 0;
		double bestEnd = Double.MAX_VALUE;
		for (int s = 0; s < freeAt.length; s++) {
			double end = Math.max(now, freeAt[s]) + work * slowness[s / slots];
			if (end < bestEnd) {
				best = s;
				bestEnd = end;
			}
		}
		freeAt[best] = bestEnd;
		return bestEnd;
	}

}
