package org.baobabspar.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Detects that this VM was suspended, from the clocks of its peers. The monotonic clock
 * of a VM stands still while the VM is suspended, so that a lease seems to last longer
 * than it does. The monotonic clocks of peers go on, and their messages carry them.
 * <p>
 * A peer reads its clock after this VM has asked and before the answer arrives, so each
 * exchange bounds the lead of the peer's clock over the own one from both sides. The lead
 * grows only if this VM loses time. If its lower bound exceeds an earlier upper bound,
 * the VM was suspended, whatever the delays of the messages. Example: an exchange that
 * took 3 ms showed a lead between 40,000 and 40,003 ms, a later one between 42,400 and
 * 42,500 ms, so this VM was suspended for at least 2,397 ms. The time of day is not used,
 * since it may be set at any time.
 * <p>
 * Invariants: no delay of messages, in either direction, is taken for a suspension; a
 * suspension is detected once, not once by each peer. Not thread-safe; used on the
 * control thread only.
 */
public final class SuspensionDetector {

	private final long minSuspensionMillis;

	private final long windowMillis;

	private final Map<String, Peer> peers = new HashMap<>();

	/**
	 * Creates a detector.
	 * @param minSuspensionMillis shortest suspension to detect
	 * @param windowMillis how long an upper bound counts at least. Shorter windows
	 * tolerate more drift between the clocks.
	 */
	public SuspensionDetector(long minSuspensionMillis, long windowMillis) {
		this.minSuspensionMillis = minSuspensionMillis;
		this.windowMillis = windowMillis;
	}

	/**
	 * Handles a message that carries the monotonic clock of a peer.
	 * @param name the peer, unique for each of its incarnations
	 * @param askedMillis the own monotonic clock at a time before which the peer cannot
	 * have read its clock: when the message was asked for. A later time than the current
	 * one counts as the current one.
	 * @param peerMillis the peer's clock when it sent the message
	 * @param nowMillis the own monotonic clock
	 * @return how long this VM was suspended at least since an earlier message, empty if
	 * no suspension is proved
	 */
	public OptionalLong observe(String name, long askedMillis, long peerMillis, long nowMillis) {
		Peer peer = this.peers.computeIfAbsent(name, (n) -> new Peer(nowMillis));
		long lostMillis = peerMillis - nowMillis - peer.maxLeadMillis();
		boolean suspended = lostMillis > this.minSuspensionMillis;
		if (suspended) {
			this.peers.values().forEach((p) -> p.shift(lostMillis));
		}
		peer.record(peerMillis - Math.min(askedMillis, nowMillis), nowMillis, this.windowMillis);
		return suspended ? OptionalLong.of(lostMillis) : OptionalLong.empty();
	}

	/**
	 * Returns the peers that were observed, whose next messages may prove a suspension.
	 * @return their names
	 */
	public Set<String> observedPeers() {
		return Set.copyOf(this.peers.keySet());
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
	 * The least upper bounds of a peer's lead in the current window and in the one
	 * before.
	 */
	private static final class Peer {

		/** Bound of a window without a message; large, and safe to subtract. */
		private static final long UNBOUNDED = Long.MAX_VALUE / 4;

		private long currentBoundMillis = UNBOUNDED;

		private long previousBoundMillis = UNBOUNDED;

		private long windowStartMillis;

		Peer(long nowMillis) {
			this.windowStartMillis = nowMillis;
		}

		long maxLeadMillis() {
			return Math.min(this.currentBoundMillis, this.previousBoundMillis);
		}

		void record(long boundMillis, long nowMillis, long windowMillis) {
			if (nowMillis - this.windowStartMillis >= windowMillis) {
				this.previousBoundMillis = this.currentBoundMillis;
				this.currentBoundMillis = boundMillis;
				this.windowStartMillis = nowMillis;
			}
			else {
				this.currentBoundMillis = Math.min(this.currentBoundMillis, boundMillis);
			}
		}

		void shift(long millis) {
			this.currentBoundMillis += millis;
			this.previousBoundMillis += millis;
		}

	}

}
