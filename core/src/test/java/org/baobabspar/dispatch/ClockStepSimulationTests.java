package org.baobabspar.dispatch;

import org.testng.annotations.Test;

/**
 * Tests of the dispatcher with steps of the time of day of single processes and no other
 * fault. Not thread-safe.
 */
public class ClockStepSimulationTests extends FaultMixTestSupport {

	public ClockStepSimulationTests() {
		super(FaultMix.CLOCK_STEPS);
	}

	// Guards against an agent that reports live runs as lost because its clock jumped.
	@Test
	void agentKeepsRunsAfterStepAhead() {
		assertGuarantees(16);
		assertGuarantees(21);
	}

}
