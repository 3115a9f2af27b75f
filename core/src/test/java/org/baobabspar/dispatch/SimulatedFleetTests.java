package org.baobabspar.dispatch;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of the guarantees of the dispatcher with {@link SimulatedFleet} under basic
 * faults.
 * <p>
 * The seeds include some that failed before: 1001 and 1017, when starts that were sent
 * between an agent's hello and its first lease request were treated as lost, and 1000,
 * when the runs of a restarted endpoint were treated as ended.
 */
public class SimulatedFleetTests {

	private static final long DURATION_MILLIS = 40_000;

	private static final int SEED_COUNT = Integer.getInteger("baobabspar.histories", 150);

	@DataProvider
	Object[][] seeds() {
		Object[][] seeds = new Object[SEED_COUNT][];
		for (int i = 0; i < SEED_COUNT; i++) {
			seeds[i] = new Object[] { 1_000L + i };
		}
		return seeds;
	}

	@Test(dataProvider = "seeds")
	void guaranteesHoldUnderFaults(long seed) {
		SimulatedFleet fleet = new SimulatedFleet(seed, FaultMix.BASIC);
		fleet.run(DURATION_MILLIS, 60);
		assertGuarantees(fleet);
		Assert.assertTrue(fleet.completed() > fleet.submitted() / 3, fleet.completed() + " of " + fleet.submitted());
	}

	@Test
	void mostJobsCompleteWithoutFaults() {
		SimulatedFleet fleet = new SimulatedFleet(1, FaultMix.NONE);
		fleet.run(DURATION_MILLIS, 90);
		assertGuarantees(fleet);
		Assert.assertTrue(fleet.completed() > 0.85 * fleet.submitted(), fleet.completed() + " of " + fleet.submitted());
	}

	private static void assertGuarantees(SimulatedFleet fleet) {
		Assert.assertEquals(String.join("\n", fleet.checker.overlaps), "", fleet.checker.firstExcerpt());
		Assert.assertEquals(String.join("\n", fleet.checker.otherViolations), "", fleet.checker.firstExcerpt());
	}

}
