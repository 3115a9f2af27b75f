package org.baobabspar.dispatch;

/**
 * Tests of the dispatcher with steps of the time of day and losses after them. Not
 * thread-safe.
 */
public class ClockStepWithLossSimulationTests extends FaultMixTestSupport {

	public ClockStepWithLossSimulationTests() {
		super(FaultMix.CLOCK_STEPS_WITH_LOSSES);
	}

}
