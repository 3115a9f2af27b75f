package org.baobabspar.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Detects that this VM was suspended, from the clocks of its peers. The monotonic clock
 * of a VM stands still while the VM is suspended, so that a lease seems to last longer
 * than it does. The monotonic clocks of peers go on, and their messages carry them.
 * <p>
 * A delayed message makes the peer's clock seem slower and never faster. The lead of a
 * peer's clock over the own one therefore has a maximum, reached by messages without
 * delay, and exceeds it only if this VM has lost time. Example: the lead of a peer was at
 * most 40,002 ms and is 42,400 ms now, so this VM was suspended for about 2,400 ms. The
 * time of day is not used, since it may be set at any time.
 * <p>
 * Invariants: a message that is later than others of its peer in the last two windows
 * never leads to a detection; a suspension is detected once, not once by each peer. Not
 * thread-safe; used on the control thread only.
 */
public final class SuspensionDetector {

	private final long minSuspensionMillis;

	private final long windowMillis;

	private final Map<String, Peer> peers = new HashMap<>();

	/**
	 * Creates a detector.
	 * @param minSuspensionMillis shortest suspension to detect
	 * @param windowMillis how long a lead counts at least. Shorter windows tolerate more
	 * drift between the clocks.
	 */
	public SuspensionDetector(long minSuspensionMillis, long windowMillis) {
		this.minSuspensionMillis = minSuspensionMillis;
		this.windowMillis = windowMillis;
	}

	/**
	 * Handles a message that carries the monotonic clock of a peer.
	 * @param name the peer, unique for each of its incarnations
	 * @param peerMillis the peer's clock when it sent the message
	 * @param nowMillis the own monotonic clock
	 * @return how long this VM was suspended since the last message, empty if it was not
	 */
	public OptionalLong observe(String name, long peerMillis, long nowMillis) {
		long leadMillis = peerMillis - nowMillis;
		Peer peer = this.peers.get(name);
		if (peer == null) {
			this.peers.put(name, new Peer(leadMillis, nowMillis));
			return OptionalLong.empty();
		}
		long lostMillis = leadMillis - peer.maxLeadMillis();
		if (lostMillis > this.minSuspensionMillis) {
			this.peers.values().forEach((p) -> p.shift(lostMillis));
			return OptionalLong.of(lostMillis);
		}
		peer.record(leadMillis, nowMillis, this.windowMillis);
		return OptionalLong.empty();
	}

	/**
	 * Forgets a peer that is gone.
	 * @param name the peer
	 * @return whether the peer has been observed
	 */
	public boolean forget(String name) {
		return this.peers.remove(name) != null;
	}

	/**
	 * The greatest leads of a peer's clock in the current window and in the one before.
	 */
	private static final class Peer {

		private long currentLeadMillis;

		private long previousLeadMillis;

		private long windowStartMillis;

		Peer(long leadMillis, long nowMillis) {
			this.currentLeadMillis = leadMillis;
			this.previousLeadMillis = leadMillis;
			this.windowStartMillis = nowMillis;
		}

		long maxLeadMillis() {
			return Math.max(this.currentLeadMillis, this.previousLeadMillis);
		}

		void record(long leadMillis, long nowMillis, long windowMillis) {
			if (nowMillis - this.windowStartMillis >= windowMillis) {
				this.previousLeadMillis = this.currentLeadMillis;
				this.currentLeadMillis = leadMillis;
				this.windowStartMillis = nowMillis;
			}
			else {
				this.currentLeadMillis = Math.max(this.currentLeadMillis, leadMillis);
			}
		}

		void shift(long millis) {
			this.currentLeadMillis += millis;
			this.previousLeadMillis += millis;
		}

	}

}
