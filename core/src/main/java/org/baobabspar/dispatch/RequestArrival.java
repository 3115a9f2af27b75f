package org.baobabspar.dispatch;

/**
 * The times between which a request was sent and arrived at this VM. A process that was
 * stopped, or whose event loop was busy, reads requests that have waited in its sockets
 * for seconds, the network may have held them up before, and nothing in a request says
 * when it was sent.
 * <p>
 * Invariant: the request did not arrive before the earliest time, and was not sent before
 * the earlier one of both. Immutable and thread-safe.
 *
 * @param earliestSentMillis the earliest time at which the client may have sent it, as
 * far as the network held it up; a wait in this VM is part of {@link #maxUnreadMillis()}
 * @param earliestMillis the earliest time at which the request may have arrived
 * @param readMillis when the request was read
 */
public record RequestArrival(long earliestSentMillis, long earliestMillis, long readMillis) {

	/**
	 * Longest interval between the two times that still counts as no delay, since the
	 * earliest time precedes the arrival by up to three ticks of a loop that is not busy.
	 */
	private static final long MAX_IGNORED_INTERVAL_MILLIS = 400;

	/** Validates the components. */
	public RequestArrival {
		if (earliestMillis > readMillis || earliestSentMillis > readMillis) {
			throw new IllegalArgumentException("earliestSentMillis " + earliestSentMillis + " or earliestMillis "
					+ earliestMillis + " > readMillis " + readMillis);
		}
	}

	/**
	 * Returns the longest time for which the caller may have waited until a request was
	 * read.
	 * @return the time, 0 if the request was read without a delay that matters
	 */
	public long maxUnreadMillis() {
		long intervalMillis = this.readMillis - this.earliestMillis;
		return (intervalMillis > MAX_IGNORED_INTERVAL_MILLIS) ? intervalMillis : 0;
	}

	/**
	 * Returns the longest time for which the caller may have waited.
	 * @param nowMillis the current time
	 * @return the time
	 */
	public long maxWaitedMillis(long nowMillis) {
		return maxUnreadMillis() + nowMillis - this.readMillis;
	}

	/**
	 * Returns whether the caller may have turned to another entry since it sent the
	 * request.
	 * @param nowMillis the current time
	 * @return whether the request may be old
	 */
	public boolean mayBeOld(long nowMillis) {
		return nowMillis - this.earliestSentMillis > MAX_IGNORED_INTERVAL_MILLIS;
	}

}
