package org.baobabspar.dispatch;

/**
 * Tests of the dispatcher with endpoints that are born again while calls to them are
 * late. Not thread-safe.
 */
public class EndpointRebirthSimulationTests extends FaultMixTestSupport {

	public EndpointRebirthSimulationTests() {
		super(FaultMix.ENDPOINT_REBIRTHS);
	}

}
