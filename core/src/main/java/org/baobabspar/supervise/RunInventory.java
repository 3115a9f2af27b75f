package org.baobabspar.supervise;

import java.util.List;

/**
 * Answer of an endpoint to a look at its runs. Immutable and safe for any thread.
 *
 * @param sentMillis when the look was sent, by the agent's clock
 * @param bornMillis the lifetime that answered
 * @param present what is present
 * @param ended ends that are not confirmed yet, oldest first
 */
public record RunInventory(long sentMillis, long bornMillis, List<PresentRun> present, List<EndedRun> ended) {

	/** Check the fields. */
	public RunInventory {
		present = List.copyOf(present);
		ended = List.copyOf(ended);
	}

}
