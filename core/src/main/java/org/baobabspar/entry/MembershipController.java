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
 * Maintains the membership of agents and determines which agents an earlier attempt may
 * have used. There is no static list of agents: they announce themselves on their links,
 * and entries pass on what they learn. An agent receives work only after every entry that
 * may still be running has acknowledged that it knows the agent, so that a resubmission
 * through any of these entries can fence it.
 * <p>
 * Example: agent X announces itself to entry A. A notifies entry B and places no task on
 * X until B has acknowledged. If A then terminates while X runs a job, the resubmission
 * through B fences X, whether or not X ever announced itself to B.
 * <p>
 * Invariant: an incarnation of an agent is kept until the idempotency window has passed
 * since it could last have started a task. Not thread-safe; used on the control thread
 * only.
 */
final class MembershipController {

	private final Blackboard blackboard;

	private final Map<String, Integer> sentPeersHashes = new HashMap<>();

	MembershipController(Blackboard blackboard) {
		this.blackboard = blackboard;
	}

	AgentRecord handleHello(String link, AgentHello hello) {
		long now = this.blackboard.now();
		AgentRecord agent = this.blackboard.agents()
			.computeIfAbsent(hello.agent().ref(), (r) -> new AgentRecord(hello.agent()));
		if (agent.linked() && !agent.link().equals(link)) {
			this.blackboard.agentsByLink().remove(agent.link());
		}
		agent.linkUp(link);
		this.blackboard.agentsByLink().put(link, agent);
		agent.recordContact(now, hello.stampMillis(), hello.limit(), 0, this.blackboard.settings().leaseMillis());
		agent.setState(hello.state());
		announce(agent);
		this.blackboard.send(link, new EntryHello(this.blackboard.self(), this.blackboard.peerInfos()));
		this.sentPeersHashes.put(link, this.blackboard.peerInfos().hashCode());
		agent.recordSend(now);
		return agent;
	}

	void handleHeartbeat(AgentRecord agent, AgentHeartbeat heartbeat) {
		boolean changed = agent.state() != heartbeat.state();
		recordContact(agent, heartbeat.stampMillis(), heartbeat.limit(), heartbeat.failuresInRow());
		agent.setDocumentOffset(heartbeat.documentOffset());
		agent.setState(heartbeat.state());
		heartbeat.usage().forEach(this.blackboard.usage()::merge);
		if (changed) {
			announce(agent);
		}
		if (changed && heartbeat.state() == AgentState.DRAINING) {
			this.blackboard.send(agent.link(), new DrainAck(this.blackboard.self().ref()));
		}
	}

	void recordContact(AgentRecord agent, long stampMillis, int limit, int failuresInRow) {
		agent.recordContact(this.blackboard.now(), stampMillis, limit, failuresInRow,
				this.blackboard.settings().leaseMillis());
		if (agent.state() == AgentState.LOST) {
			agent.setState(AgentState.SERVING);
			announce(agent);
		}
	}

	void handleGoodbye(AgentRecord agent) {
		this.blackboard.send(agent.link(), new GoodbyeAck(this.blackboard.self().ref()));
		markLost(agent);
	}

	void handleLinkDown(AgentRecord agent) {
		this.sentPeersHashes.remove(agent.link());
		this.blackboard.agentsByLink().remove(agent.link());
		agent.linkDown();
		markLost(agent);
	}

	private void markLost(AgentRecord agent) {
		if (agent.state() != AgentState.LOST) {
			agent.setState(AgentState.LOST);
			announce(agent);
		}
	}

	private void announce(AgentRecord agent) {
		agent.setNoticeSequence(this.blackboard.nextNoticeSequence());
		AgentNotices notices = new AgentNotices(agent.noticeSequence(), List.of(createNotice(agent)));
		this.blackboard.peers()
			.values()
			.stream()
			.filter(PeerRecord::linked)
			.forEach((p) -> this.blackboard.send(p.address(), notices));
	}

	private AgentNotice createNotice(AgentRecord agent) {
		boolean usable = agent.linked() && agent.state() != AgentState.LOST;
		long idleMillis = usable ? 0 : Math.max(0, this.blackboard.now() - lastUsableMillis(agent));
		return new AgentNotice(agent.info().agentId(), agent.info().incarnation(),
				usable ? agent.state() : AgentState.LOST, idleMillis);
	}

	/**
	 * Creates a notice for each known agent, including agents known from other entries
	 * only, because the entry that announced them may have terminated.
	 * @return one notice for each agent
	 */
	List<AgentNotice> createNotices() {
		return this.blackboard.agents().values().stream().map(this::createNotice).toList();
	}

	void learnFromPeer(String peerRef, AgentNotice notice) {
		AgentInfo info = new AgentInfo(notice.agentId(), notice.incarnation(), "", 0, 0);
		AgentRecord agent = this.blackboard.agents().computeIfAbsent(notice.ref(), (r) -> new AgentRecord(info));
		boolean usable = notice.state() != AgentState.LOST;
		agent.usableUntilByPeer().put(peerRef, usable ? Long.MAX_VALUE : this.blackboard.now() - notice.idleMillis());
	}

	void handleAcknowledgement(String peerRef, long sequence) {
		for (AgentRecord agent : this.blackboard.agents().values()) {
			if (agent.everLinked() && agent.noticeSequence() <= sequence) {
				agent.knownToPeers().add(peerRef);
			}
		}
	}

	/**
	 * Returns whether an agent may receive tasks, and records the first time at which it
	 * could.
	 * @param agent the agent
	 * @return {@code true} if it accepts tasks, was heard from recently and is known to
	 * every entry
	 */
	boolean isUsable(AgentRecord agent) {
		boolean usable = agent.linked() && agent.state().takesWork()
				&& this.blackboard.now() - agent.lastHeardMillis() < this.blackboard.settings().suspectAfterMillis()
				&& isKnownToAllPeers(agent);
		if (usable) {
			agent.markKnownToAll(this.blackboard.now());
		}
		return usable;
	}

	private boolean isKnownToAllPeers(AgentRecord agent) {
		for (PeerRecord peer : this.blackboard.peers().values()) {
			if (!peer.terminated() && !isKnownTo(agent, peer)) {
				return false;
			}
		}
		return true;
	}

	private boolean isKnownTo(AgentRecord agent, PeerRecord peer) {
		if (peer.info() == null) {
			return peer.unseenTimeoutPassed(this.blackboard.now());
		}
		return agent.knownToPeers().contains(peer.info().ref());
	}

	/**
	 * Returns whether an agent that did not reply may have received tasks since a point
	 * in time.
	 * @param sinceMillis the time of the first attempt
	 * @param answered the references of the agents that have replied
	 * @return {@code true} if the outcome of earlier attempts is in doubt
	 */
	boolean unansweredAgentUsableSince(long sinceMillis, Set<String> answered) {
		return this.blackboard.agents()
			.values()
			.stream()
			.anyMatch((a) -> !answered.contains(a.ref()) && lastUsableMillis(a) >= sinceMillis);
	}

	private long lastUsableMillis(AgentRecord agent) {
		long lastMillis = Long.MIN_VALUE;
		if (agent.everLinked()) {
			lastMillis = agent.linked() ? this.blackboard.now() : agent.usableUntilMillis();
		}
		for (Map.Entry<String, Long> entry : agent.usableUntilByPeer().entrySet()) {
			lastMillis = Math.max(lastMillis, Math.min(entry.getValue(), lostMillisOrNow(entry.getKey())));
		}
		return lastMillis;
	}

	private long lostMillisOrNow(String peerRef) {
		return this.blackboard.lostEntries()
			.stream()
			.filter((l) -> l.ref().equals(peerRef))
			.mapToLong(LostEntry::lostMillis)
			.findFirst()
			.orElse(this.blackboard.now());
	}

	void tick() {
		long now = this.blackboard.now();
		EntrySettings settings = this.blackboard.settings();
		int peersHash = this.blackboard.peerInfos().hashCode();
		for (AgentRecord agent : this.blackboard.agents().values()) {
			if (agent.linked() && agent.state() != AgentState.LOST
					&& now - agent.lastHeardMillis() >= settings.leaseMillis()) {
				markLost(agent);
			}
			if (agent.knownToAllSinceMillis() > now) {
				isUsable(agent);
			}
			if (agent.linked()
					&& (now - agent.lastSentMillis() >= settings.heartbeatMillis() || peersChanged(agent, peersHash))) {
				sendHeartbeat(agent, peersHash);
			}
		}
		for (AgentRecord agent : List.copyOf(this.blackboard.agents().values())) {
			if (!agent.linked() && agent.placements().isEmpty()
					&& now - lastUsableMillis(agent) > settings.windowMillis()) {
				this.blackboard.agents().remove(agent.ref());
				this.blackboard.usage().remove(agent.ref());
			}
		}
	}

	private boolean peersChanged(AgentRecord agent, int peersHash) {
		return this.sentPeersHashes.getOrDefault(agent.link(), 0) != peersHash;
	}

	private void sendHeartbeat(AgentRecord agent, int peersHash) {
		List<EntryInfo> peers = peersChanged(agent, peersHash) ? this.blackboard.peerInfos() : List.of();
		this.sentPeersHashes.put(agent.link(), peersHash);
		agent.recordSend(this.blackboard.now());
		this.blackboard.send(agent.link(),
				new EntryHeartbeat(agent.agentStampMillis(), this.blackboard.queue().waitingTasks(), peers));
	}

}
