package org.baobabspar.dispatch;

/**
 * Tests of the dispatcher with entries that stand still for longer than their callers
 * wait, and read the requests afterwards. Not thread-safe.
 */
public class EntryPauseSimulationTests extends FaultMixTestSupport {

	public EntryPauseSimulationTests() {
		super(FaultMix.ENTRY_PAUSES);
	}

}
