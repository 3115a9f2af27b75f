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

	private final Blackboard board;

	private final MembershipController membership;

	private final Map<String, Integer> peersSent = new HashMap<>();

	PeerController(Blackboard board, MembershipController membership) {
		this.board = board;
		this.membership = membership;
	}

	void learn(String address) {
		if (!address.equals(this.board.self().address()) && !this.board.peers().containsKey(address)) {
			this.board.peers().put(address, new PeerRecord(address, this.board.now()));
			this.board.out().dial(address);
		}
	}

	void learn(List<EntryInfo> entries) {
		entries.forEach(this::learn);
	}

	private void learn(EntryInfo e) {
		learn(e.address());
		PeerRecord p = this.board.peers().get(e.address());
		if (p != null && p.info() == null) {
			p.info(e);
			if (p.gone()) {
				lost(e.ref(), this.board.now());
			}
		}
	}

	void linkUp(String address) {
		PeerRecord p = this.board.peers().get(address);
		if (p != null) {
			p.linkUp();
			this.board.send(address, new PeerHello(this.board.self(), this.board.now()));
			this.board.send(address, new AgentNotices(this.board.noticeSequence(), this.membership.notices()));
		}
	}

	void linkDown(String address, boolean refused) {
		PeerRecord p = this.board.peers().get(address);
		if (p != null) {
			p.linkDown();
			if (refused) {
				gone(p);
			}
		}
	}

	private void gone(PeerRecord p) {
		if (p.info() != null && !p.gone()) {
			lost(p.info().ref(), this.board.now());
			contestSince(p.confirmedMillis());
		}
		p.goneAt(this.board.now());
	}

	// The later of two times is kept: it lets fewer resubmissions through unfenced.
	private void lost(String ref, long time) {
		long known = Long.MIN_VALUE;
		for (LostEntry l : this.board.lostEntries()) {
			known = l.ref().equals(ref) ? l.goneMillis() : known;
		}
		if (time > known) {
			this.board.lostEntries().removeIf((l) -> l.ref().equals(ref));
			this.board.lostEntries().add(new LostEntry(ref, time));
		}
	}

	void hello(String link, PeerHello h) {
		this.board.peerLinks().put(link, h.entry());
		learn(h.entry());
		PeerRecord p = this.board.peers().get(h.entry().address());
		if (p != null) {
			replace(p, h.entry());
			p.back();
		}
		List<EntryInfo> peers = this.board.peerInfos();
		this.peersSent.put(link, peers.hashCode());
		long known = this.board.now() - this.board.knownSinceMillis();
		this.board.send(link,
				new PeerWelcome(this.board.self(), h.stampMillis(), known, peers, this.membership.notices(), losses()));
	}

	private List<EntryLoss> losses() {
		return this.board.lostEntries()
			.stream()
			.map((l) -> new EntryLoss(l.ref(), this.board.now() - l.goneMillis()))
			.toList();
	}

	private void replace(PeerRecord p, EntryInfo e) {
		if (p.info() != null && !p.info().ref().equals(e.ref())) {
			if (!p.gone()) {
				lost(p.info().ref(), this.board.now());
				contestSince(p.confirmedMillis());
			}
			p.back();
		}
		p.info(e);
	}

	void welcome(String address, PeerWelcome w) {
		PeerRecord p = this.board.peers().get(address);
		if (p == null) {
			return;
		}
		if (w.entry().ref().equals(this.board.self().ref()) || !w.entry().address().equals(address)) {
			this.board.peers().remove(address);
			this.board.out().hangUp(address);
			learn(List.of(w.entry()));
			return;
		}
		replace(p, w.entry());
		p.welcome(w.entry());
		p.confirm(w.echoMillis());
		w.agents().forEach((n) -> this.membership.learn(w.entry().ref(), n));
		w.losses().forEach((l) -> lost(l.ref(), this.board.now() - l.ageMillis()));
		this.board.knowSince(this.board.now() - w.knowledgeAgeMillis());
		learn(w.peers());
	}

	void heartbeat(String link, PeerHeartbeat h) {
		List<EntryInfo> peers = this.board.peerInfos();
		boolean changed = this.peersSent.getOrDefault(link, 0) != peers.hashCode();
		this.peersSent.put(link, peers.hashCode());
		this.board.send(link, new PeerEcho(h.stampMillis(), changed ? peers : List.of()));
	}

	void echo(String address, PeerEcho e) {
		PeerRecord p = this.board.peers().get(address);
		if (p != null) {
			p.confirm(e.echoMillis());
			learn(e.peers());
		}
	}

	void notices(String link, AgentNotices n) {
		EntryInfo from = this.board.peerLinks().get(link);
		if (from != null) {
			n.notices().forEach((a) -> this.membership.learn(from.ref(), a));
			this.board.send(link, new NoticesAck(n.sequence()));
		}
	}

	void acknowledged(String address, NoticesAck a) {
		PeerRecord p = this.board.peers().get(address);
		if (p != null && p.info() != null) {
			this.membership.acknowledged(p.info().ref(), a.sequence());
		}
	}

	void goodbye(String ref) {
		this.board.peers()
			.values()
			.stream()
			.filter((p) -> p.info() != null && p.info().ref().equals(ref))
			.forEach(this::gone);
	}

	void incomingDown(String link) {
		this.board.peerLinks().remove(link);
		this.peersSent.remove(link);
	}

	/**
	 * Tell whether a peer answers now.
	 * @param p the peer
	 * @return {@code true} if it has echoed a stamp lately
	 */
	boolean answers(PeerRecord p) {
		return p.linked() && p.welcomed()
				&& this.board.now() - p.confirmedMillis() <= this.board.settings().suspectAfterMillis();
	}

	/**
	 * Tell whether no resubmission can have passed this entry by unseen. The bound is
	 * shorter than the silence after which a peer stops asking this entry.
	 * @param since the arrival of the job in question
	 * @return {@code true} if every peer has echoed a stamp just now and none has ended
	 */
	boolean inTouchSince(long since) {
		return !lostSince(since) && this.board.peers().values().stream().allMatch(this::inTouch);
	}

	private boolean inTouch(PeerRecord p) {
		long bound = this.board.settings().suspectAfterMillis() - this.board.settings().heartbeatMillis();
		return p.gone() || p.info() == null || (answers(p) && this.board.now() - p.confirmedMillis() < bound);
	}

	/**
	 * Note on every job which peers may have made a higher claim unseen, and since when.
	 */
	void contestJobs() {
		for (PeerRecord p : this.board.peers().values()) {
			if (!inTouch(p)) {
				contestSince(p.confirmedMillis());
			}
		}
	}

	private void contestSince(long since) {
		this.board.liveJobs().values().forEach((j) -> j.contest(since));
	}

	/**
	 * Tell whether this entry has heard from all entries it knows of.
	 * @return {@code true} once submissions may be taken
	 */
	boolean synchronised() {
		return this.board.peers()
			.values()
			.stream()
			.allMatch((p) -> p.welcomed() || p.gone() || p.givenUpUnseen(this.board.now()));
	}

	/**
	 * Tell whether an entry ended that may have started tasks after a moment.
	 * @param since the moment of the first attempt
	 * @return {@code true} if agents have to be asked
	 */
	boolean lostSince(long since) {
		return this.board.lostEntries().stream().anyMatch((l) -> l.goneMillis() >= since);
	}

	void tick() {
		long now = this.board.now();
		EntrySettings s = this.board.settings();
		for (PeerRecord p : List.copyOf(this.board.peers().values())) {
			if (p.linked() && now - p.sentMillis() >= s.heartbeatMillis() / 2) {
				p.sent(now);
				this.board.send(p.address(), new PeerHeartbeat(now));
			}
			forget(p, now, s);
		}
		this.board.lostEntries().removeIf((l) -> now - l.goneMillis() > 2 * s.windowMillis());
	}

	private void forget(PeerRecord p, long now, EntrySettings s) {
		long silentSince = Math.max(p.learnedMillis(), p.confirmedMillis());
		if (!p.gone() && now - silentSince > s.windowMillis()) {
			gone(p);
		}
		if (p.gone() && now - p.goneMillis() > s.windowMillis()) {
			this.board.peers().remove(p.address());
			this.board.out().hangUp(p.address());
		}
	}

}
