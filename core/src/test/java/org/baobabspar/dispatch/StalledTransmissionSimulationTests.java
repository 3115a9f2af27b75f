package org.baobabspar.dispatch;

/**
 * Tests of the dispatcher with processes that freeze between a decision and the
 * transmission of its result. Not thread-safe.
 */
public class StalledTransmissionSimulationTests extends FaultMixTestSupport {

	public StalledTransmissionSimulationTests() {
		super(FaultMix.STALLED_TRANSMISSIONS);
	}

}
