package org.baobabspar.node;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of {@link StopPhase}.
 */
public class StopPhaseTests {

	@DataProvider
	Object[][] phases() {
		return new Object[][] { { 0, 6_000, 3, StopPhase.DRAINING }, { 0, 6_000, 0, StopPhase.DRAINING },
				{ 2_599, 6_000, 0, StopPhase.DRAINING }, { 2_600, 6_000, 0, StopPhase.ENDING },
				{ 2_600, 6_000, 1, StopPhase.FINISHING }, { 5_299, 6_000, 1, StopPhase.FINISHING },
				{ 5_300, 6_000, 1, StopPhase.ENDING }, { 900, 2_000, 1, StopPhase.DRAINING },
				{ 1_000, 2_000, 1, StopPhase.FINISHING } };
	}

	@Test(dataProvider = "phases")
	void followsTheTimeAndTheOpenJobs(long sinceMillis, long graceMillis, long open, StopPhase expected) {
		Assert.assertEquals(StopPhase.of(sinceMillis, graceMillis, open), expected);
	}

}
