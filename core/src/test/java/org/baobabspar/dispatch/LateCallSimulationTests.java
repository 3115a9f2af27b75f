package org.baobabspar.dispatch;

/**
 * Tests of the dispatcher with calls to endpoints that are carried out late or unanswered
 * while runs lose their entry or caller. Not thread-safe.
 */
public class LateCallSimulationTests extends FaultMixTestSupport {

	public LateCallSimulationTests() {
		super(FaultMix.LATE_CALLS);
	}

}
