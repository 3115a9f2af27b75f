package org.baobabspar.dispatch;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of the dispatcher with requests that the network holds up until their callers
 * have left. Not thread-safe.
 */
public class HeldUpRequestSimulationTests extends FaultMixTestSupport {

	public HeldUpRequestSimulationTests() {
		super(FaultMix.HELD_UP_REQUESTS);
	}

	// Guards against a second run beside the next attempt, as a cut holds up a request
	// for over a second and the end of its connection for longer.
	@Test(dataProvider = "seedsWithOverlaps")
	void runsOfHeldUpRequestsDoNotOverlap(long seed) {
		assertGuarantees(seed);
	}

	@DataProvider
	Object[][] seedsWithOverlaps() {
		return new Object[][] { { 31L }, { 43L } };
	}

}
