package org.baobabspar.dispatch;

import org.testng.annotations.Test;

/**
 * Tests of the dispatcher with steps of the time of day of entries, also while an agent
 * is silent. Not thread-safe.
 */
public class EntryClockStepSimulationTests extends FaultMixTestSupport {

	public EntryClockStepSimulationTests() {
		super(FaultMix.ENTRY_CLOCK_STEPS);
	}

	// Guards against an entry whose wait for a silent agent is shortened by steps.
	@Test
	void entryWaitsForSilentAgentDespiteSteps() {
		assertGuarantees(6);
		assertGuarantees(2);
		assertGuarantees(15);
	}

}
