package org.baobabspar.agent;

/**
 * Bounds that an agent keeps. Immutable.
 * <p>
 * Invariant: the lease of a dispatch is far shorter than the resubmission window, so that
 * a dispatch delayed past the life of the ledger is refused by its age alone.
 *
 * @param slots tasks that the endpoint runs at once
 * @param prefetch tasks held beyond the slots
 * @param windowMillis how long starts, results and fences are remembered
 * @param leaseMillis how old the stamp in a dispatch may be
 * @param heartbeatMillis longest silence towards an entry
 * @param entrySilentMillis silence after which an entry gets no allotment
 * @param maxStarts most starts in the ledger
 * @param maxResultBytes most result bytes in the ledger
 */
public record AgentSettings(int slots, int prefetch, long windowMillis, long leaseMillis, long heartbeatMillis,
		long entrySilentMillis, int maxStarts, long maxResultBytes) {

	/** Smallest ratio of the window to the lease. */
	public static final int MIN_WINDOW_PER_LEASE = 4;

	public AgentSettings {
		if (slots < 1 || prefetch < 0 || windowMillis < MIN_WINDOW_PER_LEASE * leaseMillis) {
			throw new IllegalArgumentException("slots from 1, prefetch from 0, window at least 4 leases");
		}
	}

	/**
	 * Return the settings used unless an operator says otherwise.
	 * @param slots tasks that the endpoint runs at once
	 * @return the settings
	 */
	public static AgentSettings defaults(int slots) {
		return new AgentSettings(slots, 3, 300_000, 3_000, 1_000, 3_000, 200_000, 16L << 20);
	}

}
