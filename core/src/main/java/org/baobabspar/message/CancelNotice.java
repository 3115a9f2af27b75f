package org.baobabspar.message;

import java.util.List;

import org.baobabspar.fleet.CancelledJob;

/**
 * Tells another process of jobs that were cancelled. An entry sends it to its agents, and
 * agents pass it on to their other entries. Immutable.
 *
 * @param sequence number of the notice if the sender waits for a {@link CancelReply}, 0
 * if it does not
 * @param jobs the jobs
 */
public record CancelNotice(long sequence, List<CancelledJob> jobs) implements Message {

	/** Validates the components. */
	public CancelNotice {
		jobs = List.copyOf(jobs);
	}

}
