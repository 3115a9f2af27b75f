package org.baobabspar.agent;

/**
 * Limits and intervals of an agent. Immutable.
 * <p>
 * Invariant: the lease of a dispatch is much shorter than the resubmission window, so
 * that a dispatch that arrives after its ledger record has expired is refused because of
 * its age alone.
 *
 * @param slots number of tasks that the endpoint runs concurrently
 * @param prefetch number of tasks that may wait at the agent beyond the slots
 * @param windowMillis how long starts, results and fences are retained
 * @param leaseMillis maximum age of the time stamp in a dispatch
 * @param heartbeatMillis maximum interval between messages to an entry
 * @param entrySilentMillis time without a message after which an entry is allocated no
 * slots
 * @param maxStarts maximum number of starts in the ledger
 * @param maxResultBytes maximum total size of the results in the ledger
 */
public record AgentSettings(int slots, int prefetch, long windowMillis, long leaseMillis, long heartbeatMillis,
		long entrySilentMillis, int maxStarts, long maxResultBytes) {

	/** Minimum ratio of the resubmission window to the lease. */
	public static final int MIN_WINDOW_PER_LEASE = 4;

	public AgentSettings {
		if (slots < 1 || prefetch < 0 || windowMillis < MIN_WINDOW_PER_LEASE * leaseMillis) {
			throw new IllegalArgumentException(
					"slots must be at least 1, prefetch at least 0, and the window at least 4 times the lease");
		}
	}

	/**
	 * Returns the default settings.
	 * @param slots number of tasks that the endpoint runs concurrently
	 * @return the settings
	 */
	public static AgentSettings defaults(int slots) {
		return new AgentSettings(slots, 3, 300_000, 3_000, 1_000, 3_000, 200_000, 16L << 20);
	}

}
