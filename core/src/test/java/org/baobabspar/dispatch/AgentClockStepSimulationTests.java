package org.baobabspar.dispatch;

/**
 * Tests of the dispatcher with short steps of an agent's time of day just before the
 * agent is lost, which set the lease of its endpoint too far ahead. Not thread-safe.
 */
public class AgentClockStepSimulationTests extends FaultMixTestSupport {

	public AgentClockStepSimulationTests() {
		super(FaultMix.AGENT_CLOCK_STEPS);
	}

}
