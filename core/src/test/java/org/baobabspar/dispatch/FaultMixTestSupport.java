package org.baobabspar.dispatch;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Base of the tests that simulate a fleet under one {@link FaultMix}. The seeds of
 * {@link #guaranteesHold} are counted from 1; the property {@code baobabspar.histories}
 * sets their number. Not thread-safe.
 */
abstract class FaultMixTestSupport {

	private static final int SEED_COUNT = Integer.getInteger("baobabspar.histories", 4);

	private static final long DURATION_MILLIS = 40_000;

	private static final long JOB_INTERVAL_MILLIS = 60;

	private final FaultMix mix;

	FaultMixTestSupport(FaultMix mix) {
		this.mix = mix;
	}

	@DataProvider
	Object[][] seeds() {
		Object[][] seeds = new Object[SEED_COUNT][];
		for (int i = 0; i < SEED_COUNT; i++) {
			seeds[i] = new Object[] { 1L + i };
		}
		return seeds;
	}

	// Guards against any overlap of two runs of a task under this mix of faults.
	@Test(dataProvider = "seeds")
	void guaranteesHold(long seed) {
		assertGuarantees(seed);
	}

	/**
	 * Simulates a history and asserts that no guarantee was violated. The message of a
	 * failure has the seed and the part of the trace that leads to the first violation.
	 * @param seed the seed
	 */
	final void assertGuarantees(long seed) {
		SimulatedFleet fleet = new SimulatedFleet(seed, this.mix);
		fleet.run(DURATION_MILLIS, JOB_INTERVAL_MILLIS);
		String history = "mix=" + this.mix + " seed=" + seed + "\n" + fleet.checker.firstExcerpt();
		Assert.assertEquals(String.join("\n", fleet.checker.overlaps), "", history);
		Assert.assertEquals(String.join("\n", fleet.checker.otherViolations), "", history);
		Assert.assertTrue(fleet.completed() > fleet.submitted() / 4,
				history + fleet.completed() + " of " + fleet.submitted());
	}

}
