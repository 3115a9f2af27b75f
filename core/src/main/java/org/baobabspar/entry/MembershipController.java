package org.baobabspar.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.baobabspar.message.AgentHeartbeat;
import org.baobabspar.message.AgentHello;
import org.baobabspar.message.AgentInfo;
import org.baobabspar.message.AgentNotice;
import org.baobabspar.message.AgentNotices;
import org.baobabspar.message.AgentState;
import org.baobabspar.message.DrainAck;
import org.baobabspar.message.EntryHeartbeat;
import org.baobabspar.message.EntryHello;
import org.baobabspar.message.EntryInfo;
import org.baobabspar.message.GoodbyeAck;

/**
 * Keeps what this entry knows of agents, and tells which agents an earlier attempt may
 * have used. Nobody lists agents: they announce themselves on their links, and entries
 * pass on what they learn. An agent is given work only after every entry that may still
 * run has acknowledged that it knows of it, so that a resubmission through any of them
 * can ask it.
 * <p>
 * Example: agent X greets entry A. A tells entry B and gives X no work until B has
 * acknowledged. If A then vanishes with a job running on X, the resubmission through B
 * fences X, whether or not X ever greeted B.
 * <p>
 * Invariant: an incarnation stays on the board for the window after it could last have
 * started anything. Used on the control thread only.
 */
final class MembershipController {

	private final Blackboard board;

	private final Map<String, Integer> peersSent = new HashMap<>();

	MembershipController(Blackboard board) {
		this.board = board;
	}

	AgentRecord hello(String link, AgentHello h) {
		long now = this.board.now();
		AgentRecord a = this.board.agents().computeIfAbsent(h.agent().ref(), (r) -> new AgentRecord(h.agent()));
		if (a.linked() && !a.link().equals(link)) {
			this.board.agentsByLink().remove(a.link());
		}
		a.linkUp(link);
		this.board.agentsByLink().put(link, a);
		a.heard(now, h.stampMillis(), h.limit(), 0, this.board.settings().leaseMillis());
		a.state(h.state());
		announce(a);
		this.board.send(link, new EntryHello(this.board.self(), this.board.peerInfos()));
		this.peersSent.put(link, this.board.peerInfos().hashCode());
		a.sent(now);
		return a;
	}

	void heartbeat(AgentRecord a, AgentHeartbeat h) {
		boolean changed = a.state() != h.state();
		heard(a, h.stampMillis(), h.limit(), h.failuresInRow());
		a.documentOffset(h.documentOffset());
		a.state(h.state());
		h.usage().forEach(this.board.usage()::merge);
		if (changed) {
			announce(a);
		}
		if (changed && h.state() == AgentState.DRAINING) {
			this.board.send(a.link(), new DrainAck(this.board.self().ref()));
		}
	}

	void heard(AgentRecord a, long stamp, int limit, int failures) {
		a.heard(this.board.now(), stamp, limit, failures, this.board.settings().leaseMillis());
		if (a.state() == AgentState.LOST) {
			a.state(AgentState.SERVING);
			announce(a);
		}
	}

	void goodbye(AgentRecord a) {
		this.board.send(a.link(), new GoodbyeAck(this.board.self().ref()));
		lose(a);
	}

	void linkDown(AgentRecord a) {
		this.peersSent.remove(a.link());
		this.board.agentsByLink().remove(a.link());
		a.linkDown();
		lose(a);
	}

	private void lose(AgentRecord a) {
		if (a.state() != AgentState.LOST) {
			a.state(AgentState.LOST);
			announce(a);
		}
	}

	private void announce(AgentRecord a) {
		a.noticed(this.board.nextNotice());
		AgentNotices n = new AgentNotices(a.noticeSequence(), List.of(notice(a)));
		this.board.peers().values().stream().filter(PeerRecord::linked).forEach((p) -> this.board.send(p.address(), n));
	}

	private AgentNotice notice(AgentRecord a) {
		boolean usable = a.linked() && a.state() != AgentState.LOST;
		long idle = usable ? 0 : Math.max(0, this.board.now() - lastUsable(a));
		return new AgentNotice(a.info().agentId(), a.info().incarnation(), usable ? a.state() : AgentState.LOST, idle);
	}

	/**
	 * Describe all agents, those that others told of included: whoever knew them first
	 * may be gone by now.
	 * @return a notice for each
	 */
	List<AgentNotice> notices() {
		return this.board.agents().values().stream().map(this::notice).toList();
	}

	void learn(String peerRef, AgentNotice n) {
		AgentInfo info = new AgentInfo(n.agentId(), n.incarnation(), "", 0, 0);
		AgentRecord a = this.board.agents().computeIfAbsent(n.ref(), (r) -> new AgentRecord(info));
		boolean usable = n.state() != AgentState.LOST;
		a.usableByPeer().put(peerRef, usable ? Long.MAX_VALUE : this.board.now() - n.idleMillis());
	}

	void acknowledged(String peerRef, long sequence) {
		for (AgentRecord a : this.board.agents().values()) {
			if (a.own() && a.noticeSequence() <= sequence) {
				a.knownToPeers().add(peerRef);
			}
		}
	}

	/**
	 * Tell whether an agent may be given work.
	 * @param a the agent
	 * @return {@code true} if it serves, was heard from lately and is known to every
	 * entry
	 */
	boolean usable(AgentRecord a) {
		boolean usable = a.linked() && a.state().takesWork()
				&& this.board.now() - a.heardMillis() < this.board.settings().suspectAfterMillis() && knownToAll(a);
		if (usable) {
			a.clearedAt(this.board.now());
		}
		return usable;
	}

	private boolean knownToAll(AgentRecord a) {
		for (PeerRecord p : this.board.peers().values()) {
			if (!p.gone() && !knownTo(a, p)) {
				return false;
			}
		}
		return true;
	}

	private boolean knownTo(AgentRecord a, PeerRecord p) {
		if (p.info() == null) {
			return p.givenUpUnseen(this.board.now());
		}
		return a.knownToPeers().contains(p.info().ref());
	}

	/**
	 * Tell whether an agent that did not answer may have been given work after a moment.
	 * @param since the moment of the first attempt
	 * @param answered the agents that have answered
	 * @return {@code true} if the outcome of the earlier attempts is in doubt
	 */
	boolean doubtful(long since, Set<String> answered) {
		return this.board.agents()
			.values()
			.stream()
			.anyMatch((a) -> !answered.contains(a.ref()) && lastUsable(a) >= since);
	}

	private long lastUsable(AgentRecord a) {
		long last = Long.MIN_VALUE;
		if (a.own()) {
			last = a.linked() ? this.board.now() : a.usableUntilMillis();
		}
		for (Map.Entry<String, Long> e : a.usableByPeer().entrySet()) {
			last = Math.max(last, Math.min(e.getValue(), endOf(e.getKey())));
		}
		return last;
	}

	private long endOf(String peerRef) {
		return this.board.lostEntries()
			.stream()
			.filter((l) -> l.ref().equals(peerRef))
			.mapToLong(LostEntry::goneMillis)
			.findFirst()
			.orElse(this.board.now());
	}

	void tick() {
		long now = this.board.now();
		EntrySettings s = this.board.settings();
		int peersHash = this.board.peerInfos().hashCode();
		for (AgentRecord a : this.board.agents().values()) {
			if (a.linked() && a.state() != AgentState.LOST && now - a.heardMillis() >= s.leaseMillis()) {
				lose(a);
			}
			if (a.clearedMillis() > now) {
				usable(a);
			}
			if (a.linked() && (now - a.sentMillis() >= s.heartbeatMillis() || peersChanged(a, peersHash))) {
				greet(a, peersHash);
			}
		}
		for (AgentRecord a : List.copyOf(this.board.agents().values())) {
			if (!a.linked() && a.placements().isEmpty() && now - lastUsable(a) > s.windowMillis()) {
				this.board.agents().remove(a.ref());
				this.board.usage().remove(a.ref());
			}
		}
	}

	private boolean peersChanged(AgentRecord a, int peersHash) {
		return this.peersSent.getOrDefault(a.link(), 0) != peersHash;
	}

	private void greet(AgentRecord a, int peersHash) {
		List<EntryInfo> peers = peersChanged(a, peersHash) ? this.board.peerInfos() : List.of();
		this.peersSent.put(a.link(), peersHash);
		a.sent(this.board.now());
		this.board.send(a.link(), new EntryHeartbeat(a.stampMillis(), this.board.queue().tasks(), peers));
	}

}
