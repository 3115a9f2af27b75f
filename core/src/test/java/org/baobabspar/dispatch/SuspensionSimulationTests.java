package org.baobabspar.dispatch;

/**
 * Tests of the dispatcher with processes that are suspended, for which their monotonic
 * clocks don't count. Not thread-safe.
 */
public class SuspensionSimulationTests extends FaultMixTestSupport {

	public SuspensionSimulationTests() {
		super(FaultMix.SUSPENSIONS);
	}

}
