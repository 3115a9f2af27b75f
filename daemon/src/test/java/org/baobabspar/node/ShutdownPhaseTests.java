package org.baobabspar.node;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of {@link ShutdownPhase}.
 */
public class ShutdownPhaseTests {

	@DataProvider
	Object[][] phases() {
		return new Object[][] { { 0, 6_000, 3, ShutdownPhase.DRAINING }, { 0, 6_000, 0, ShutdownPhase.DRAINING },
				{ 2_599, 6_000, 0, ShutdownPhase.DRAINING }, { 2_600, 6_000, 0, ShutdownPhase.ENDING },
				{ 2_600, 6_000, 1, ShutdownPhase.FINISHING }, { 5_299, 6_000, 1, ShutdownPhase.FINISHING },
				{ 5_300, 6_000, 1, ShutdownPhase.ENDING }, { 900, 2_000, 1, ShutdownPhase.DRAINING },
				{ 1_000, 2_000, 1, ShutdownPhase.FINISHING } };
	}

	@Test(dataProvider = "phases")
	void followsTheTimeAndTheOpenJobs(long sinceMillis, long graceMillis, long open, ShutdownPhase expected) {
		Assert.assertEquals(ShutdownPhase.of(sinceMillis, graceMillis, open), expected);
	}

}
