package org.baobabspar.dispatch;

/**
 * Tests of the dispatcher with requests that the network holds up until their callers
 * have left. Not thread-safe.
 */
public class HeldUpRequestSimulationTests extends FaultMixTestSupport {

	public HeldUpRequestSimulationTests() {
		super(FaultMix.HELD_UP_REQUESTS);
	}

}
