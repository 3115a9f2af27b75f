package org.baobabspar.dispatch;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Histories of {@link SimulatedFleet}. Seeds that have failed are among them: 1001 and
 * 1017 when orders placed between an agent's hello and its first request were taken as
 * lost, 1000 when runs of a reborn endpoint were taken as gone.
 */
public class SimulatedFleetTests {

	private static final long MILLIS = 40_000;

	private static final int HISTORIES = Integer.getInteger("baobabspar.histories", 150);

	@DataProvider
	Object[][] seeds() {
		Object[][] seeds = new Object[HISTORIES][];
		for (int i = 0; i < HISTORIES; i++) {
			seeds[i] = new Object[] { 1_000L + i };
		}
		return seeds;
	}

	@Test(dataProvider = "seeds")
	void keepsThePromisesUnderFaults(long seed) {
		SimulatedFleet fleet = new SimulatedFleet(seed, 3, 6, true);
		fleet.run(MILLIS, 60);
		Assert.assertEquals(String.join("\n", fleet.broken), "");
		Assert.assertTrue(fleet.completed > fleet.submitted / 3, fleet.completed + " of " + fleet.submitted);
	}

	@Test
	void servesAllWithoutFaults() {
		SimulatedFleet fleet = new SimulatedFleet(1, 3, 6, false);
		fleet.run(MILLIS, 90);
		Assert.assertEquals(String.join("\n", fleet.broken), "");
		Assert.assertTrue(fleet.completed > 0.85 * fleet.submitted, fleet.completed + " of " + fleet.submitted);
	}

}
