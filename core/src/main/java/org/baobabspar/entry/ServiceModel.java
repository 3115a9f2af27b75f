package org.baobabspar.entry;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns from outcomes how long a task of a class takes and how much slower one endpoint
 * is than another. Declared run times are not used, since they are far off.
 * <p>
 * A service time is modelled as {@code mean(class) * slowness(agent)}. Each outcome moves
 * both factors towards what explains it: the class by the time divided by the agent's
 * slowness, the agent by the time divided by the mean of the class. Only the product is
 * ever used, so a common drift of the two factors does no harm.
 * <p>
 * Invariant: both factors stay above zero. Used on the control thread only.
 */
final class ServiceModel {

	private static final double DEFAULT_MILLIS = 200;

	private static final double CLASS_RATE = 0.02;

	private static final double AGENT_RATE = 0.05;

	private static final int WARMUP_OUTCOMES = 20;

	private static final double MIN_SLOWNESS = 0.02;

	private static final double MAX_SLOWNESS = 50;

	private final Map<String, Mean> classes = new HashMap<>();

	private final Map<String, Integer> outcomes = new HashMap<>();

	private final Mean all = new Mean();

	double meanMillis(String taskClass) {
		Mean m = this.classes.get(taskClass);
		return (m != null) ? m.value : this.all.value;
	}

	double meanMillis() {
		return this.all.value;
	}

	void record(String taskClass, AgentRecord a, long serviceMillis) {
		double service = Math.max(1, serviceMillis);
		double mean = meanMillis(taskClass);
		int n = this.outcomes.merge(a.info().agentId(), 1, Integer::sum);
		double rate = Math.max(AGENT_RATE, 1.0 / (n + 1));
		double slowness = a.slowness() + rate * (service / mean - a.slowness());
		a.slowness(Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, slowness)));
		double normal = service / a.slowness();
		this.classes.computeIfAbsent(taskClass, (c) -> new Mean()).add(normal);
		this.all.add(normal);
	}

	/** An exponentially weighted mean that averages evenly at first. */
	private static final class Mean {

		private double value = DEFAULT_MILLIS;

		private int count;

		private void add(double x) {
			this.count++;
			double rate = (this.count < WARMUP_OUTCOMES) ? 1.0 / this.count : CLASS_RATE;
			this.value = Math.max(1, this.value + rate * (x - this.value));
		}

	}

}
