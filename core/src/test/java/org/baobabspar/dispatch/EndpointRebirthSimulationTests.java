package org.baobabspar.dispatch;

import org.testng.annotations.Test;

/**
 * Tests of the dispatcher with endpoints that are born again while calls to them are
 * late. Their clocks go on, or their ids change. Not thread-safe.
 */
public class EndpointRebirthSimulationTests extends FaultMixTestSupport {

	public EndpointRebirthSimulationTests() {
		super(FaultMix.ENDPOINT_REBIRTHS);
	}

	// Guards against a start that a rebirth lets in before its deadline though stopped.
	@Test
	void stoppedStartIsNotGivenBackBeforeItsDeadline() {
		assertGuarantees(177);
		assertGuarantees(759);
	}

	// Guards against a refusal of a job of which a run began in an earlier incarnation.
	@Test
	void jobIsNotRefusedAfterARunThatARebirthEnded() {
		assertGuarantees(544);
	}

}
