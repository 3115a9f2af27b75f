package org.baobabspar.message;

import java.util.List;

import org.baobabspar.fleet.ClaimedJob;

/**
 * Claims jobs for an entry, because the requests may have been held up on their way and
 * their callers may have submitted the jobs to another entry since. An entry sends it to
 * its agents, and agents pass it on to their other entries. Immutable.
 *
 * @param sequence number of the claim if the sender waits for a {@link JobClaimReply}, 0
 * if it does not
 * @param precedes whether the claimant goes first if the receiver claims the same job
 * with the same right; has no meaning to agents
 * @param jobs the jobs
 */
public record JobClaim(long sequence, boolean precedes, List<ClaimedJob> jobs) implements Message {

	/** Validates the components. */
	public JobClaim {
		jobs = List.copyOf(jobs);
	}

}
