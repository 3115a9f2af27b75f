package org.baobabspar.dispatch;

import org.testng.annotations.Test;

/**
 * Tests of the dispatcher with links and paths of callers that are cut in one direction.
 * Not thread-safe.
 */
public class OneWayCutSimulationTests extends FaultMixTestSupport {

	public OneWayCutSimulationTests() {
		super(FaultMix.ONE_WAY_CUTS);
	}

	// Guards against a job that arrived late and outlives the wait of its caller.
	@Test
	void lateJobEndsBeforeItsCallerSubmitsItAgain() {
		assertGuarantees(899);
	}

}
