package org.baobabspar.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.baobabspar.message.AgentNotices;
import org.baobabspar.message.EntryInfo;
import org.baobabspar.message.EntryLoss;
import org.baobabspar.message.NoticesAck;
import org.baobabspar.message.PeerEcho;
import org.baobabspar.message.PeerHeartbeat;
import org.baobabspar.message.PeerHello;
import org.baobabspar.message.PeerWelcome;

/**
 * Maintains the membership of entries. Each entry opens a link to every other entry and
 * sends the first message on it. A peer counts as alive up to the newest time stamp of
 * this entry that it has echoed. Such an echo is reliable evidence even if messages were
 * buffered while this process was paused.
 * <p>
 * A silent peer may have terminated or may be partitioned. It is removed only when its
 * process is proved to have terminated (by its goodbye, a refused connection, or another
 * incarnation at its address) or when it was silent for the whole idempotency window.
 * <p>
 * Invariant: every entry that terminated within the window is among the lost entries. Not
 * thread-safe; used on the control thread only.
 */
final class PeerController {

	private final Blackboard blackboard;

	private final MembershipController membership;

	private final Map<String, Integer> sentPeersHashes = new HashMap<>();

	PeerController(Blackboard blackboard, MembershipController membership) {
		this.blackboard = blackboard;
		this.membership = membership;
	}

	void addPeer(String address) {
		if (!address.equals(this.blackboard.self().address()) && !this.blackboard.peers().containsKey(address)) {
			this.blackboard.peers().put(address, new PeerRecord(address, this.blackboard.now()));
			this.blackboard.outbox().dial(address);
		}
	}

	void addPeers(List<EntryInfo> entries) {
		entries.forEach(this::addPeer);
	}

	private void addPeer(EntryInfo entry) {
		addPeer(entry.address());
		PeerRecord peer = this.blackboard.peers().get(entry.address());
		if (peer != null && peer.info() == null) {
			peer.setInfo(entry);
			if (peer.terminated()) {
				recordLoss(entry.ref(), this.blackboard.now());
			}
		}
	}

	void handleLinkUp(String address) {
		PeerRecord peer = this.blackboard.peers().get(address);
		if (peer != null) {
			peer.linkUp();
			this.blackboard.send(address, new PeerHello(this.blackboard.self(), this.blackboard.now()));
			this.blackboard.send(address,
					new AgentNotices(this.blackboard.noticeSequence(), this.membership.createNotices()));
		}
	}

	void handleLinkDown(String address, boolean refused) {
		PeerRecord peer = this.blackboard.peers().get(address);
		if (peer != null) {
			peer.linkDown();
			if (refused) {
				markTerminated(peer);
			}
		}
	}

	private void markTerminated(PeerRecord peer) {
		if (peer.info() != null && !peer.terminated()) {
			recordLoss(peer.info().ref(), this.blackboard.now());
			markContestedSince(peer.confirmedMillis());
		}
		peer.markTerminated(this.blackboard.now());
	}

	// Keeps the later of two times, which requires fencing for more resubmissions.
	private void recordLoss(String ref, long lostMillis) {
		long knownLostMillis = Long.MIN_VALUE;
		for (LostEntry lost : this.blackboard.lostEntries()) {
			knownLostMillis = lost.ref().equals(ref) ? lost.lostMillis() : knownLostMillis;
		}
		if (lostMillis > knownLostMillis) {
			this.blackboard.lostEntries().removeIf((l) -> l.ref().equals(ref));
			this.blackboard.lostEntries().add(new LostEntry(ref, lostMillis));
		}
	}

	void handleHello(String link, PeerHello hello) {
		this.blackboard.entriesByLink().put(link, hello.entry());
		addPeer(hello.entry());
		PeerRecord peer = this.blackboard.peers().get(hello.entry().address());
		if (peer != null) {
			updateIncarnation(peer, hello.entry());
			peer.markAlive();
		}
		List<EntryInfo> peers = this.blackboard.peerInfos();
		this.sentPeersHashes.put(link, peers.hashCode());
		long knownForMillis = this.blackboard.now() - this.blackboard.lossesKnownSinceMillis();
		this.blackboard.send(link, new PeerWelcome(this.blackboard.self(), hello.stampMillis(), knownForMillis, peers,
				this.membership.createNotices(), losses()));
	}

	private List<EntryLoss> losses() {
		return this.blackboard.lostEntries()
			.stream()
			.map((l) -> new EntryLoss(l.ref(), this.blackboard.now() - l.lostMillis()))
			.toList();
	}

	private void updateIncarnation(PeerRecord peer, EntryInfo entry) {
		if (peer.info() != null && !peer.info().ref().equals(entry.ref())) {
			if (!peer.terminated()) {
				recordLoss(peer.info().ref(), this.blackboard.now());
				markContestedSince(peer.confirmedMillis());
			}
			peer.markAlive();
		}
		peer.setInfo(entry);
	}

	void handleWelcome(String address, PeerWelcome welcome) {
		PeerRecord peer = this.blackboard.peers().get(address);
		if (peer == null) {
			return;
		}
		if (welcome.entry().ref().equals(this.blackboard.self().ref()) || !welcome.entry().address().equals(address)) {
			this.blackboard.peers().remove(address);
			this.blackboard.outbox().hangUp(address);
			addPeers(List.of(welcome.entry()));
			return;
		}
		updateIncarnation(peer, welcome.entry());
		peer.recordWelcome(welcome.entry());
		peer.recordEcho(welcome.echoMillis());
		welcome.agents().forEach((n) -> this.membership.learnFromPeer(welcome.entry().ref(), n));
		welcome.losses().forEach((l) -> recordLoss(l.ref(), this.blackboard.now() - l.ageMillis()));
		this.blackboard.extendLossesKnownSince(this.blackboard.now() - welcome.knowledgeAgeMillis());
		addPeers(welcome.peers());
	}

	void handleHeartbeat(String link, PeerHeartbeat heartbeat) {
		List<EntryInfo> peers = this.blackboard.peerInfos();
		boolean changed = this.sentPeersHashes.getOrDefault(link, 0) != peers.hashCode();
		this.sentPeersHashes.put(link, peers.hashCode());
		this.blackboard.send(link, new PeerEcho(heartbeat.stampMillis(), changed ? peers : List.of()));
	}

	void handleEcho(String address, PeerEcho echo) {
		PeerRecord peer = this.blackboard.peers().get(address);
		if (peer != null) {
			peer.recordEcho(echo.echoMillis());
			addPeers(echo.peers());
		}
	}

	void handleAgentNotices(String link, AgentNotices notices) {
		EntryInfo from = this.blackboard.entriesByLink().get(link);
		if (from != null) {
			notices.notices().forEach((a) -> this.membership.learnFromPeer(from.ref(), a));
			this.blackboard.send(link, new NoticesAck(notices.sequence()));
		}
	}

	void handleNoticesAck(String address, NoticesAck ack) {
		PeerRecord peer = this.blackboard.peers().get(address);
		if (peer != null && peer.info() != null) {
			this.membership.handleAcknowledgement(peer.info().ref(), ack.sequence());
		}
	}

	void handleGoodbye(String ref) {
		this.blackboard.peers()
			.values()
			.stream()
			.filter((p) -> p.info() != null && p.info().ref().equals(ref))
			.forEach(this::markTerminated);
	}

	void handleIncomingLinkDown(String link) {
		this.blackboard.entriesByLink().remove(link);
		this.sentPeersHashes.remove(link);
	}

	/**
	 * Returns whether a peer is responsive.
	 * @param peer the peer
	 * @return {@code true} if it is linked and has echoed a recent time stamp
	 */
	boolean isResponsive(PeerRecord peer) {
		return peer.linked() && peer.welcomed()
				&& this.blackboard.now() - peer.confirmedMillis() <= this.blackboard.settings().suspectAfterMillis();
	}

	/**
	 * Returns whether no resubmission can have bypassed this entry unnoticed. The
	 * time-out used here is shorter than the silence after which a peer stops querying
	 * this entry.
	 * @param sinceMillis the arrival time of the job
	 * @return {@code true} if every peer has echoed a recent time stamp and none has
	 * terminated since
	 */
	boolean allPeersResponsiveSince(long sinceMillis) {
		return !hasLossSince(sinceMillis)
				&& this.blackboard.peers().values().stream().allMatch(this::isRecentlyConfirmed);
	}

	private boolean isRecentlyConfirmed(PeerRecord peer) {
		long boundMillis = this.blackboard.settings().suspectAfterMillis()
				- this.blackboard.settings().heartbeatMillis();
		return peer.terminated() || peer.info() == null
				|| (isResponsive(peer) && this.blackboard.now() - peer.confirmedMillis() < boundMillis);
	}

	/**
	 * Records on every live job since when a peer may have made a higher claim unnoticed.
	 */
	void markContestedJobs() {
		for (PeerRecord peer : this.blackboard.peers().values()) {
			if (!isRecentlyConfirmed(peer)) {
				markContestedSince(peer.confirmedMillis());
			}
		}
	}

	private void markContestedSince(long sinceMillis) {
		this.blackboard.liveJobs().values().forEach((j) -> j.markContested(sinceMillis));
	}

	/**
	 * Returns whether this entry has heard from all entries that it knows of.
	 * @return {@code true} if submissions may be accepted
	 */
	boolean isSynchronized() {
		return this.blackboard.peers()
			.values()
			.stream()
			.allMatch((p) -> p.welcomed() || p.terminated() || p.unseenTimeoutPassed(this.blackboard.now()));
	}

	/**
	 * Returns whether an entry was lost that may have started tasks since a point in
	 * time.
	 * @param sinceMillis the time of the first attempt
	 * @return {@code true} if agents have to be fenced
	 */
	boolean hasLossSince(long sinceMillis) {
		return this.blackboard.lostEntries().stream().anyMatch((l) -> l.lostMillis() >= sinceMillis);
	}

	void tick() {
		long now = this.blackboard.now();
		EntrySettings settings = this.blackboard.settings();
		for (PeerRecord peer : List.copyOf(this.blackboard.peers().values())) {
			if (peer.linked() && now - peer.lastSentMillis() >= settings.heartbeatMillis() / 2) {
				peer.recordSend(now);
				this.blackboard.send(peer.address(), new PeerHeartbeat(now));
			}
			expire(peer, now, settings);
		}
		this.blackboard.lostEntries().removeIf((l) -> now - l.lostMillis() > 2 * settings.windowMillis());
	}

	private void expire(PeerRecord peer, long now, EntrySettings settings) {
		long silentSince = Math.max(peer.learnedMillis(), peer.confirmedMillis());
		if (!peer.terminated() && now - silentSince > settings.windowMillis()) {
			markTerminated(peer);
		}
		if (peer.terminated() && now - peer.terminatedMillis() > settings.windowMillis()) {
			this.blackboard.peers().remove(peer.address());
			this.blackboard.outbox().hangUp(peer.address());
		}
	}

}
