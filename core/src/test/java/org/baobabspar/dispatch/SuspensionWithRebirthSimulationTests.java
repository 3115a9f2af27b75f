package org.baobabspar.dispatch;

/**
 * Tests of the dispatcher with agents that are suspended while their endpoints are born
 * again under their old id and with a clock that begins at 0. Guards against a start that
 * waited in a buffer during the suspension: neither its deadline nor its fencing token
 * keeps it out of the new incarnation. Not thread-safe.
 */
public class SuspensionWithRebirthSimulationTests extends FaultMixTestSupport {

	public SuspensionWithRebirthSimulationTests() {
		super(FaultMix.SUSPENSIONS_WITH_REBIRTHS);
	}

}
