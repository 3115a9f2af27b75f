package org.baobabspar.dispatch;

import org.testng.annotations.Test;

/**
 * Tests of the dispatcher with endpoints that are born again under their old id and with
 * a clock that begins at 0, while calls to them are late. The deadline of a late start
 * does not keep it out there. Not thread-safe.
 */
public class EndpointClockResetSimulationTests extends FaultMixTestSupport {

	public EndpointClockResetSimulationTests() {
		super(FaultMix.ENDPOINT_CLOCK_RESETS);
	}

	// Guards against an unanswered start that counts as lost when its endpoint is silent.
	@Test
	void unansweredStartIsNotLostWithASilentEndpoint() {
		assertGuarantees(51);
		assertGuarantees(23);
	}

	// Guards against a start that its endpoint forgot, with the stop of it, by a rebirth.
	@Test
	void stoppedStartIsNotCarriedOutByTheNextIncarnation() {
		assertGuarantees(21);
		assertGuarantees(77);
	}

	// Guards against a start of a killed agent that the endpoint's next life carries out.
	@Test
	void startOfKilledAgentIsNotCarriedOutByTheNextIncarnation() {
		assertGuarantees(91);
		assertGuarantees(1);
	}

}
