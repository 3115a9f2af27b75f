package org.baobabspar.entry;

import org.baobabspar.message.EntryInfo;

/**
 * The state of another entry, identified by the address that this entry dials.
 * <p>
 * Invariant: {@code confirmedMillis} is the time at which this entry sent the newest time
 * stamp that the peer has echoed, so it is never later than the last time at which the
 * peer was known to be running. Not thread-safe; used on the control thread only.
 */
final class PeerRecord {

	private static final long UNSEEN_PEER_TIMEOUT_MILLIS = 10_000;

	private final String address;

	private final long learnedMillis;

	private EntryInfo info;

	private boolean linked;

	private boolean welcomed;

	private long confirmedMillis;

	private long lastSentMillis;

	private boolean terminated;

	private long terminatedMillis;

	PeerRecord(String address, long now) {
		this.address = address;
		this.learnedMillis = now;
	}

	String address() {
		return this.address;
	}

	/**
	 * Returns whether the time to wait for a peer that has never replied has passed.
	 * @param now monotonic milliseconds
	 * @return {@code true} once its address has been known for the time-out
	 */
	boolean unseenTimeoutPassed(long now) {
		return now - this.learnedMillis > UNSEEN_PEER_TIMEOUT_MILLIS;
	}

	long learnedMillis() {
		return this.learnedMillis;
	}

	EntryInfo info() {
		return this.info;
	}

	void setInfo(EntryInfo entry) {
		this.info = entry;
	}

	boolean linked() {
		return this.linked;
	}

	void linkUp() {
		this.linked = true;
	}

	void linkDown() {
		this.linked = false;
	}

	boolean welcomed() {
		return this.welcomed;
	}

	void recordWelcome(EntryInfo entry) {
		this.info = entry;
		this.welcomed = true;
		this.terminated = false;
	}

	long confirmedMillis() {
		return this.confirmedMillis;
	}

	void recordEcho(long stampMillis) {
		this.confirmedMillis = Math.max(this.confirmedMillis, stampMillis);
	}

	long lastSentMillis() {
		return this.lastSentMillis;
	}

	void recordSend(long now) {
		this.lastSentMillis = now;
	}

	/**
	 * Returns whether the process of the peer is proved to have terminated.
	 * @return {@code true} after its goodbye or a refused connection
	 */
	boolean terminated() {
		return this.terminated;
	}

	long terminatedMillis() {
		return this.terminatedMillis;
	}

	void markTerminated(long now) {
		if (!this.terminated) {
			this.terminated = true;
			this.terminatedMillis = now;
		}
		this.welcomed = false;
	}

	void markAlive() {
		this.terminated = false;
	}

}
