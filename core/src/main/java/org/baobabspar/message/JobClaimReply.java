package org.baobabspar.message;

import java.util.List;

/**
 * Answers a {@link JobClaim}. Immutable.
 *
 * @param sequence number of the claim
 * @param complete whether every process that may have runs of the jobs, as far as the
 * sender knows, has answered
 * @param heldJobIds the jobs of the claim that another entry holds or that have runs
 */
public record JobClaimReply(long sequence, boolean complete, List<String> heldJobIds) implements Message {

	/** Validates the components. */
	public JobClaimReply {
		heldJobIds = List.copyOf(heldJobIds);
	}

}
