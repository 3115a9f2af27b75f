package org.baobabspar.dispatch;

/**
 * Bounds the time at which a client sent what an entry reads now. As long as bytes of any
 * client arrive, the path between clients and entry carries what they send. When nothing
 * has arrived for a while, the path may have been cut, and what was sent meanwhile is
 * transmitted again after pauses that double. So it may arrive for as long after the
 * silence as the silence lasted, and for one more transmission timeout.
 * <p>
 * Example: nothing is read from 10.0 s to 12.5 s. What is read until 15.3 s may have been
 * sent at 10.0 s, but not on a connection that was served at 12.6 s.
 * <p>
 * Invariant: holds for cuts of the path of all clients; a packet that is lost on one
 * connection while others are served is not noticed. Not thread-safe.
 */
final class PathSilence {

	/**
	 * Time without any bytes from which on the path may have been cut. A shorter cut ends
	 * before a transmission is late by as much as a caller waits before it submits again.
	 */
	static final long MIN_SILENCE_MILLIS = 1_000;

	/** First timeout of a transmission, and the time of a round trip. */
	static final long TRANSMISSION_TIMEOUT_MILLIS = 300;

	private long lastReadMillis;

	/** Start and end of the last silence, or of some that followed each other closely. */
	private long silentSinceMillis = Long.MAX_VALUE;

	private long silentUntilMillis = Long.MIN_VALUE;

	/** End of the time in which what was sent during the silence may arrive. */
	private long heldUpUntilMillis = Long.MIN_VALUE;

	PathSilence(long nowMillis) {
		this.lastReadMillis = nowMillis;
	}

	/**
	 * Records that bytes of a client have arrived.
	 * @param nowMillis the current time
	 */
	void recordRead(long nowMillis) {
		long silenceMillis = nowMillis - this.lastReadMillis;
		if (silenceMillis >= MIN_SILENCE_MILLIS) {
			boolean over = this.lastReadMillis > this.heldUpUntilMillis;
			this.silentSinceMillis = over ? this.lastReadMillis : this.silentSinceMillis;
			this.silentUntilMillis = nowMillis;
			this.heldUpUntilMillis = nowMillis + (nowMillis - this.silentSinceMillis) + TRANSMISSION_TIMEOUT_MILLIS;
		}
		this.lastReadMillis = nowMillis;
	}

	/**
	 * Returns the earliest time at which a client may have sent what is read now.
	 * @param quietSinceMillis since when its connection has had no request without an
	 * answer
	 * @param nowMillis the current time
	 * @return the start of the silence after which it may arrive, the current time if
	 * there was none since the connection was served
	 */
	long earliestSentMillis(long quietSinceMillis, long nowMillis) {
		boolean mayBeHeldUp = nowMillis <= this.heldUpUntilMillis && quietSinceMillis < this.silentUntilMillis;
		return mayBeHeldUp ? Math.max(quietSinceMillis, this.silentSinceMillis) : nowMillis;
	}

}
