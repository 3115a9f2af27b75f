package org.baobabspar.entry;

import org.baobabspar.message.EntryInfo;

/**
 * What an entry knows of another entry, under the address that it dials.
 * <p>
 * Invariant: {@code confirmedMillis} is the time at which this entry sent the newest
 * stamp that the peer has echoed, so it is never later than the last moment at which the
 * peer was known to run. Used on the control thread only.
 */
final class PeerRecord {

	private static final long UNSEEN_PEER_HOLD_MILLIS = 10_000;

	private final String address;

	private final long learnedMillis;

	private EntryInfo info;

	private boolean linked;

	private boolean welcomed;

	private long confirmedMillis;

	private long sentMillis;

	private boolean gone;

	private long goneMillis;

	PeerRecord(String address, long now) {
		this.address = address;
		this.learnedMillis = now;
	}

	String address() {
		return this.address;
	}

	/**
	 * Tell whether a peer that has never answered need not be waited for any longer.
	 * @param now monotonic milliseconds
	 * @return {@code true} once its address was known for the bound
	 */
	boolean givenUpUnseen(long now) {
		return now - this.learnedMillis > UNSEEN_PEER_HOLD_MILLIS;
	}

	long learnedMillis() {
		return this.learnedMillis;
	}

	EntryInfo info() {
		return this.info;
	}

	void info(EntryInfo e) {
		this.info = e;
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

	void welcome(EntryInfo e) {
		this.info = e;
		this.welcomed = true;
		this.gone = false;
	}

	long confirmedMillis() {
		return this.confirmedMillis;
	}

	void confirm(long stamp) {
		this.confirmedMillis = Math.max(this.confirmedMillis, stamp);
	}

	long sentMillis() {
		return this.sentMillis;
	}

	void sent(long now) {
		this.sentMillis = now;
	}

	/**
	 * Tell whether the peer's process is proved to have ended.
	 * @return {@code true} after its goodbye or a refused connection
	 */
	boolean gone() {
		return this.gone;
	}

	long goneMillis() {
		return this.goneMillis;
	}

	void goneAt(long now) {
		if (!this.gone) {
			this.gone = true;
			this.goneMillis = now;
		}
		this.welcomed = false;
	}

	void back() {
		this.gone = false;
	}

}
