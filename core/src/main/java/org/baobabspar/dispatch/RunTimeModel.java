package org.baobabspar.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Predicts run times at speed 1 from what callers declare. A declared time is off by a
 * factor that differs from job to job, and so is the mean of a route for a single job;
 * their geometric mean is nearer than either. Example: a route's mean is 80 ms and a job
 * declares 320 ms; 160 ms are expected. Used on the control thread only.
 */
final class RunTimeModel {

	private static final double MEAN_WEIGHT = 0.02;

	private static final int FEW_SAMPLES = 50;

	private final Map<String, Mean> means = new HashMap<>();

	double predict(String route, long declaredMillis) {
		double log = Math.log(Math.max(1, declaredMillis));
		Mean m = this.means.computeIfAbsent(route, (r) -> new Mean());
		m.add(log);
		return Math.exp((log + m.log) / 2);
	}

	private static final class Mean {

		private double log;

		private int samples;

		void add(double sample) {
			this.samples = Math.min(FEW_SAMPLES, this.samples + 1);
			double weight = Math.max(MEAN_WEIGHT, 1.0 / this.samples);
			this.log += weight * (sample - this.log);
		}

	}

}
