package org.baobabspar.entry;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates from observed outcomes how long a task of a class takes and how much slower
 * one endpoint is than another. Declared run times are not used, because they are
 * inaccurate.
 * <p>
 * A service time is modelled as {@code mean(class) * slowdown(agent)}. Each outcome
 * adjusts both factors: the class mean towards the observed time divided by the agent's
 * slowdown, and the agent's slowdown towards the observed time divided by the class mean.
 * Only the product is used, so a common drift of the two factors has no effect.
 * <p>
 * Invariant: both factors are greater than zero. Not thread-safe; used on the control
 * thread only.
 */
final class ServiceTimeModel {

	private static final double DEFAULT_SERVICE_MILLIS = 200;

	private static final double CLASS_LEARNING_RATE = 0.02;

	private static final double MIN_AGENT_LEARNING_RATE = 0.05;

	private static final int WARMUP_OUTCOMES = 20;

	private static final double MIN_SLOWDOWN = 0.02;

	private static final double MAX_SLOWDOWN = 50;

	private final Map<String, Mean> meansByClass = new HashMap<>();

	private final Map<String, Integer> outcomeCounts = new HashMap<>();

	private final Mean overallMean = new Mean();

	double meanMillis(String taskClass) {
		Mean classMean = this.meansByClass.get(taskClass);
		return (classMean != null) ? classMean.value : this.overallMean.value;
	}

	double meanMillis() {
		return this.overallMean.value;
	}

	void record(String taskClass, AgentRecord agent, long serviceMillis) {
		double serviceTime = Math.max(1, serviceMillis);
		double classMeanMillis = meanMillis(taskClass);
		int outcomeCount = this.outcomeCounts.merge(agent.info().agentId(), 1, Integer::sum);
		double rate = Math.max(MIN_AGENT_LEARNING_RATE, 1.0 / (outcomeCount + 1));
		double slowdown = agent.slowdown() + rate * (serviceTime / classMeanMillis - agent.slowdown());
		agent.setSlowdown(Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, slowdown)));
		double normalizedMillis = serviceTime / agent.slowdown();
		this.meansByClass.computeIfAbsent(taskClass, (c) -> new Mean()).add(normalizedMillis);
		this.overallMean.add(normalizedMillis);
	}

	/** An exponentially weighted moving average that starts as an arithmetic mean. */
	private static final class Mean {

		private double value = DEFAULT_SERVICE_MILLIS;

		private int count;

		private void add(double sample) {
			this.count++;
			double rate = (this.count < WARMUP_OUTCOMES) ? 1.0 / this.count : CLASS_LEARNING_RATE;
			this.value = Math.max(1, this.value + rate * (sample - this.value));
		}

	}

}
