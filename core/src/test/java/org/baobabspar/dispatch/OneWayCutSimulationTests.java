package org.baobabspar.dispatch;

/**
 * Tests of the dispatcher with links and paths of callers that are cut in one direction.
 * Not thread-safe.
 */
public class OneWayCutSimulationTests extends FaultMixTestSupport {

	public OneWayCutSimulationTests() {
		super(FaultMix.ONE_WAY_CUTS);
	}

}
