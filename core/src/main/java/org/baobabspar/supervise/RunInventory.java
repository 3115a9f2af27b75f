package org.baobabspar.supervise;

import java.util.List;

/**
 * The runs that an endpoint lists in its answer to a poll or a probe. Immutable and safe
 * for any thread.
 *
 * @param sentMillis when the poll was sent, by the agent's clock; 0 if a listed run could
 * not be read, since no run that is missing in the list is known to be absent then
 * @param bornMillis the incarnation that answered
 * @param present runs that are present
 * @param ended ends that are not confirmed yet, oldest first
 */
public record RunInventory(long sentMillis, long bornMillis, List<PresentRun> present, List<EndedRun> ended) {

	/** Copies the lists. */
	public RunInventory {
		present = List.copyOf(present);
		ended = List.copyOf(ended);
	}

}
