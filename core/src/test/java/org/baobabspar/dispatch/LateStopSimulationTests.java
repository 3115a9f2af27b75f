package org.baobabspar.dispatch;

import org.testng.annotations.Test;

/**
 * Tests of the dispatcher with stops that are carried out late, most of them in a row,
 * while runs lose their entry or caller. Not thread-safe.
 */
public class LateStopSimulationTests extends FaultMixTestSupport {

	public LateStopSimulationTests() {
		super(FaultMix.LATE_STOPS);
	}

	// Guards against renewals that keep a run without a lease until its entry restarts
	// it.
	@Test
	void unconfirmedStopEndsWithinTheWaitOfTheEntry() {
		assertGuarantees(80);
		assertGuarantees(50);
		assertGuarantees(22);
	}

	// Guards against renewals that keep a run of a dead entry until its caller's retry.
	@Test
	void unconfirmedStopEndsWithinTheWaitOfTheCaller() {
		assertGuarantees(79);
		assertGuarantees(19);
		assertGuarantees(7);
	}

}
