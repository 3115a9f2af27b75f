package org.baobabspar.dispatch;

/**
 * Tests of the dispatcher with all faults but those of the clocks of processes. Not
 * thread-safe.
 */
public class MixedFaultSimulationTests extends FaultMixTestSupport {

	public MixedFaultSimulationTests() {
		super(FaultMix.ALL_BUT_CLOCKS);
	}

}
