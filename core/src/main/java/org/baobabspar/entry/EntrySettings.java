package org.baobabspar.entry;

/**
 * Bounds that an entry keeps. Immutable.
 *
 * @param windowMillis how long jobs and fences are remembered
 * @param leaseMillis how old the stamp in a dispatch may be at its agent
 * @param heartbeatMillis longest silence towards agents and peers
 * @param suspectAfterMillis silence of an agent after which it gets no new work
 * @param lostAfterMillis silence of an agent after which its tasks are given up as
 * unknown
 * @param peerReplyTimeoutMillis how long peers may take to answer about a job
 * @param fenceTimeoutMillis how long agents may take to answer a fence
 * @param pauseThresholdMillis gap between ticks that counts as a pause of this process;
 * below the time that peers wait for an answer, so that a pause either is answered in
 * time or noticed
 * @param quarantineMillis how long after a start or a pause every submission is treated
 * as a resubmission
 * @param ageMarginMillis added to the declared age of a resubmission; above the longest
 * pause that is not noticed, for which the request may have waited in a buffer
 * @param maxJobs most jobs held, ended ones included
 * @param maxResubmissionsPerSecond most resubmissions looked into in a second
 * @param policy how agents are chosen
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
					"suspect <= lease <= lost <= window and pause, suspect < ask and pause < margin");
		}
	}

	/**
	 * Return the settings used unless an operator says otherwise.
	 * @return the settings
	 */
	public static EntrySettings defaults() {
		return new EntrySettings(300_000, 3_000, 1_000, 2_200, 5_000, 2_500, 1_000, 1_000, 1_000, 2_000, 200_000, 2_000,
				PlacementPolicy.EXPECTED_FINISH);
	}

	/**
	 * Return the same settings with another policy.
	 * @param newPolicy how agents are chosen
	 * @return the settings
	 */
	public EntrySettings withPolicy(PlacementPolicy newPolicy) {
		return new EntrySettings(this.windowMillis, this.leaseMillis, this.heartbeatMillis, this.suspectAfterMillis,
				this.lostAfterMillis, this.peerReplyTimeoutMillis, this.fenceTimeoutMillis, this.pauseThresholdMillis,
				this.quarantineMillis, this.ageMarginMillis, this.maxJobs, this.maxResubmissionsPerSecond, newPolicy);
	}

}
