package org.baobabspar.entry;

/**
 * The settings of an entry. Immutable.
 *
 * @param windowMillis the idempotency window, for which jobs and fences are remembered
 * @param leaseMillis the maximum age of the time stamp in a dispatch when it reaches its
 * agent
 * @param heartbeatMillis the maximum time without a message to an agent or a peer
 * @param suspectAfterMillis the silence after which an agent receives no new tasks
 * @param lostAfterMillis the silence after which the tasks of an agent are abandoned with
 * an unknown outcome
 * @param peerReplyTimeoutMillis the time-out for the replies of peers to a job query
 * @param fenceTimeoutMillis the time-out for the replies of agents to a fence
 * @param pauseThresholdMillis the gap between ticks that counts as a pause of this
 * process; less than the reply time-out of peers, so that every pause is either answered
 * in time or detected
 * @param quarantineMillis how long submissions are refused after a start or a pause
 * @param ageMarginMillis the margin added to the declared age of a resubmission; more
 * than the longest undetected pause, during which the request may have been buffered
 * @param maxJobs the maximum number of jobs held, including ended ones
 * @param maxResubmissionsPerSecond the maximum number of resubmissions processed per
 * second
 * @param policy the placement policy
 */
public record EntrySettings(long windowMillis, long leaseMillis, long heartbeatMillis, long suspectAfterMillis,
		long lostAfterMillis, long peerReplyTimeoutMillis, long fenceTimeoutMillis, long pauseThresholdMillis,
		long quarantineMillis, long ageMarginMillis, int maxJobs, int maxResubmissionsPerSecond,
		PlacementPolicy policy) {

	public EntrySettings {
		if (suspectAfterMillis > leaseMillis || lostAfterMillis < leaseMillis || windowMillis < lostAfterMillis
				|| pauseThresholdMillis >= peerReplyTimeoutMillis || suspectAfterMillis >= peerReplyTimeoutMillis
				|| ageMarginMillis <= pauseThresholdMillis) {
			throw new IllegalArgumentException(
					"entry settings must satisfy suspectAfter <= lease <= lostAfter <= window, "
							+ "pauseThreshold < peerReplyTimeout, suspectAfter < peerReplyTimeout "
							+ "and pauseThreshold < ageMargin");
		}
	}

	/**
	 * Returns the default settings.
	 * @return the settings
	 */
	public static EntrySettings defaults() {
		return new EntrySettings(300_000, 3_000, 1_000, 2_200, 5_000, 2_500, 1_000, 1_000, 1_000, 2_000, 200_000, 2_000,
				PlacementPolicy.EXPECTED_FINISH);
	}

	/**
	 * Returns a copy of these settings with another policy.
	 * @param newPolicy the placement policy
	 * @return the settings
	 */
	public EntrySettings withPolicy(PlacementPolicy newPolicy) {
		return new EntrySettings(this.windowMillis, this.leaseMillis, this.heartbeatMillis, this.suspectAfterMillis,
				this.lostAfterMillis, this.peerReplyTimeoutMillis, this.fenceTimeoutMillis, this.pauseThresholdMillis,
				this.quarantineMillis, this.ageMarginMillis, this.maxJobs, this.maxResubmissionsPerSecond, newPolicy);
	}

}
