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
 * Keeps what this entry knows of the other entries. Each entry opens a link to every
 * other one and speaks first on it. A peer counts as alive as far as it has echoed this
 * entry's own stamps, which a message that waited in a buffer while this process was
 * paused cannot forge.
 * <p>
 * A peer that is silent may be dead or cut off. It is forgotten only when its process is
 * proved to have ended (its goodbye, a refused connection, another incarnation at its
 * address) or when it was silent for the whole window.
 * <p>
 * Invariant: every entry that ended within the window is among the lost entries. Used on
 * the control thread only.
 */
final class PeerController {

	private final EntryContext context;

	private final MembershipController membership;

	private final Map<String, Integer> sentPeersHashes = new HashMap<>();

	PeerController(EntryContext context, MembershipController membership) {
		this.context = context;
		this.membership = membership;
	}

	void addPeer(String address) {
		if (!address.equals(this.context.self().address()) && !this.context.peers().containsKey(address)) {
			this.context.peers().put(address, new PeerRecord(address, this.context.now()));
			this.context.outbox().dial(address);
		}
	}

	void addPeer(List<EntryInfo> entries) {
		entries.forEach(this::addPeer);
	}

	private void addPeer(EntryInfo entry) {
		addPeer(entry.address());
		PeerRecord peer = this.context.peers().get(entry.address());
		if (peer != null && peer.info() == null) {
			peer.setInfo(entry);
			if (peer.terminated()) {
				recordLoss(entry.ref(), this.context.now());
			}
		}
	}

	void handleLinkUp(String address) {
		PeerRecord peer = this.context.peers().get(address);
		if (peer != null) {
			peer.linkUp();
			this.context.send(address, new PeerHello(this.context.self(), this.context.now()));
			this.context.send(address,
					new AgentNotices(this.context.noticeSequence(), this.membership.createNotices()));
		}
	}

	void handleLinkDown(String address, boolean refused) {
		PeerRecord peer = this.context.peers().get(address);
		if (peer != null) {
			peer.linkDown();
			if (refused) {
				markTerminated(peer);
			}
		}
	}

	private void markTerminated(PeerRecord peer) {
		if (peer.info() != null && !peer.terminated()) {
			recordLoss(peer.info().ref(), this.context.now());
			markContestedSince(peer.confirmedMillis());
		}
		peer.markTerminated(this.context.now());
	}

	// The later of two times is kept: it lets fewer resubmissions through unfenced.
	private void recordLoss(String ref, long lostMillis) {
		long knownLostMillis = Long.MIN_VALUE;
		for (LostEntry lost : this.context.lostEntries()) {
			knownLostMillis = lost.ref().equals(ref) ? lost.lostMillis() : knownLostMillis;
		}
		if (lostMillis > knownLostMillis) {
			this.context.lostEntries().removeIf((l) -> l.ref().equals(ref));
			this.context.lostEntries().add(new LostEntry(ref, lostMillis));
		}
	}

	void handleHello(String link, PeerHello hello) {
		this.context.entriesByLink().put(link, hello.entry());
		addPeer(hello.entry());
		PeerRecord peer = this.context.peers().get(hello.entry().address());
		if (peer != null) {
			updateIncarnation(peer, hello.entry());
			peer.markAlive();
		}
		List<EntryInfo> peers = this.context.peerInfos();
		this.sentPeersHashes.put(link, peers.hashCode());
		long knownForMillis = this.context.now() - this.context.lossesKnownSinceMillis();
		this.context.send(link, new PeerWelcome(this.context.self(), hello.stampMillis(), knownForMillis, peers,
				this.membership.createNotices(), losses()));
	}

	private List<EntryLoss> losses() {
		return this.context.lostEntries()
			.stream()
			.map((l) -> new EntryLoss(l.ref(), this.context.now() - l.lostMillis()))
			.toList();
	}

	private void updateIncarnation(PeerRecord peer, EntryInfo entry) {
		if (peer.info() != null && !peer.info().ref().equals(entry.ref())) {
			if (!peer.terminated()) {
				recordLoss(peer.info().ref(), this.context.now());
				markContestedSince(peer.confirmedMillis());
			}
			peer.markAlive();
		}
		peer.setInfo(entry);
	}

	void handleWelcome(String address, PeerWelcome welcome) {
		PeerRecord peer = this.context.peers().get(address);
		if (peer == null) {
			return;
		}
		if (welcome.entry().ref().equals(this.context.self().ref()) || !welcome.entry().address().equals(address)) {
			this.context.peers().remove(address);
			this.context.outbox().hangUp(address);
			addPeer(List.of(welcome.entry()));
			return;
		}
		updateIncarnation(peer, welcome.entry());
		peer.recordWelcome(welcome.entry());
		peer.recordEcho(welcome.echoMillis());
		welcome.agents().forEach((n) -> this.membership.learnFromPeer(welcome.entry().ref(), n));
		welcome.losses().forEach((l) -> recordLoss(l.ref(), this.context.now() - l.agoMillis()));
		this.context.extendLossesKnownSince(this.context.now() - welcome.knownSinceMillis());
		addPeer(welcome.peers());
	}

	void handleHeartbeat(String link, PeerHeartbeat heartbeat) {
		List<EntryInfo> peers = this.context.peerInfos();
		boolean changed = this.sentPeersHashes.getOrDefault(link, 0) != peers.hashCode();
		this.sentPeersHashes.put(link, peers.hashCode());
		this.context.send(link, new PeerEcho(heartbeat.stampMillis(), changed ? peers : List.of()));
	}

	void handleEcho(String address, PeerEcho echo) {
		PeerRecord peer = this.context.peers().get(address);
		if (peer != null) {
			peer.recordEcho(echo.echoMillis());
			addPeer(echo.peers());
		}
	}

	void handleAgentNotices(String link, AgentNotices notices) {
		EntryInfo from = this.context.entriesByLink().get(link);
		if (from != null) {
			notices.notices().forEach((a) -> this.membership.learnFromPeer(from.ref(), a));
			this.context.send(link, new NoticesAck(notices.sequence()));
		}
	}

	void handleNoticesAck(String address, NoticesAck ack) {
		PeerRecord peer = this.context.peers().get(address);
		if (peer != null && peer.info() != null) {
			this.membership.handleAcknowledgement(peer.info().ref(), ack.sequence());
		}
	}

	void handleGoodbye(String ref) {
		this.context.peers()
			.values()
			.stream()
			.filter((p) -> p.info() != null && p.info().ref().equals(ref))
			.forEach(this::markTerminated);
	}

	void handleIncomingLinkDown(String link) {
		this.context.entriesByLink().remove(link);
		this.sentPeersHashes.remove(link);
	}

	/**
	 * Tell whether a peer answers now.
	 * @param peer the peer
	 * @return {@code true} if it has echoed a stamp lately
	 */
	boolean isResponsive(PeerRecord peer) {
		return peer.linked() && peer.welcomed()
				&& this.context.now() - peer.confirmedMillis() <= this.context.settings().suspectAfterMillis();
	}

	/**
	 * Tell whether no resubmission can have passed this entry by unseen. The bound is
	 * shorter than the silence after which a peer stops asking this entry.
	 * @param sinceMillis the arrival of the job in question
	 * @return {@code true} if every peer has echoed a stamp just now and none has ended
	 */
	boolean allPeersResponsiveSince(long sinceMillis) {
		return !hasLossSince(sinceMillis) && this.context.peers().values().stream().allMatch(this::isRecentlyConfirmed);
	}

	private boolean isRecentlyConfirmed(PeerRecord peer) {
		long boundMillis = this.context.settings().suspectAfterMillis() - this.context.settings().heartbeatMillis();
		return peer.terminated() || peer.info() == null
				|| (isResponsive(peer) && this.context.now() - peer.confirmedMillis() < boundMillis);
	}

	/**
	 * Note on every job which peers may have made a higher claim unseen, and since when.
	 */
	void markContestedJobs() {
		for (PeerRecord peer : this.context.peers().values()) {
			if (!isRecentlyConfirmed(peer)) {
				markContestedSince(peer.confirmedMillis());
			}
		}
	}

	private void markContestedSince(long sinceMillis) {
		this.context.liveJobs().values().forEach((j) -> j.markContested(sinceMillis));
	}

	/**
	 * Tell whether this entry has heard from all entries it knows of.
	 * @return {@code true} once submissions may be taken
	 */
	boolean isSynchronized() {
		return this.context.peers()
			.values()
			.stream()
			.allMatch((p) -> p.welcomed() || p.terminated() || p.unseenTimeoutPassed(this.context.now()));
	}

	/**
	 * Tell whether an entry ended that may have started tasks after a moment.
	 * @param sinceMillis the moment of the first attempt
	 * @return {@code true} if agents have to be asked
	 */
	boolean hasLossSince(long sinceMillis) {
		return this.context.lostEntries().stream().anyMatch((l) -> l.lostMillis() >= sinceMillis);
	}

	void tick() {
		long now = this.context.now();
		EntrySettings settings = this.context.settings();
		for (PeerRecord peer : List.copyOf(this.context.peers().values())) {
			if (peer.linked() && now - peer.lastSentMillis() >= settings.heartbeatMillis() / 2) {
				peer.recordSend(now);
				this.context.send(peer.address(), new PeerHeartbeat(now));
			}
			expire(peer, now, settings);
		}
		this.context.lostEntries().removeIf((l) -> now - l.lostMillis() > 2 * settings.windowMillis());
	}

	private void expire(PeerRecord peer, long now, EntrySettings settings) {
		long silentSince = Math.max(peer.learnedMillis(), peer.confirmedMillis());
		if (!peer.terminated() && now - silentSince > settings.windowMillis()) {
			markTerminated(peer);
		}
		if (peer.terminated() && now - peer.terminatedMillis() > settings.windowMillis()) {
			this.context.peers().remove(peer.address());
			this.context.outbox().hangUp(peer.address());
		}
	}

}
