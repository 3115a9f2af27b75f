package org.baobabspar.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Predicts the run time of a task at speed 1 from the time that its caller declared.
 * <p>
 * A declared time is wrong by a factor that varies from job to job. The mean of a route
 * is wrong for a single job too. The geometric mean of the two is closer than either.
 * Example: with a route mean of 80 ms and a declared time of 320 ms, the prediction is
 * 160 ms.
 * <p>
 * Not thread-safe; used on the control thread only.
 */
final class RunTimeModel {

	/** Weight of a new sample once a route has {@link #WARM_UP_SAMPLES} samples. */
	private static final double MIN_SAMPLE_WEIGHT = 0.02;

	/** Number of first samples of a route that are averaged with equal weights. */
	private static final int WARM_UP_SAMPLES = 50;

	private final Map<String, LogMean> meansByRoute = new HashMap<>();

	double predict(String route, long declaredMillis) {
		double logMillis = Math.log(Math.max(1, declaredMillis));
		LogMean mean = this.meansByRoute.computeIfAbsent(route, (r) -> new LogMean());
		mean.add(logMillis);
		return Math.exp((logMillis + mean.value) / 2);
	}

	/**
	 * Moving average of the logarithms of the declared run times.
	 */
	private static final class LogMean {

		private double value;

		private int samples;

		void add(double sample) {
			this.samples = Math.min(WARM_UP_SAMPLES, this.samples + 1);
			double weight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / this.samples);
			this.value += weight * (sample - this.value);
		}

	}

}
