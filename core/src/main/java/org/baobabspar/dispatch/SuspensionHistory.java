package org.baobabspar.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The suspensions of this VM that were found of late. A request that arrived before one
 * was found may have been sent before the VM was suspended, and the monotonic clock does
 * not show the time that its caller has waited meanwhile.
 * <p>
 * Not thread-safe; used on the control thread only.
 */
final class SuspensionHistory {

	/** No caller waits for longer. */
	private static final long RETENTION_MILLIS = 120_000;

	private final Deque<Suspension> suspensions = new ArrayDeque<>();

	void add(long lostMillis, long nowMillis) {
		this.suspensions.removeIf((s) -> nowMillis - s.foundMillis > RETENTION_MILLIS);
		this.suspensions.add(new Suspension(nowMillis, lostMillis));
	}

	/**
	 * Returns the sum of the suspensions that were found since a time.
	 * @param earliestMillis the time
	 * @return the time that the monotonic clock lost, as far as it is known
	 */
	long lostMillisSince(long earliestMillis) {
		return this.suspensions.stream()
			.filter((s) -> s.foundMillis >= earliestMillis)
			.mapToLong(Suspension::lostMillis)
			.sum();
	}

	private record Suspension(long foundMillis, long lostMillis) {
	}

}
