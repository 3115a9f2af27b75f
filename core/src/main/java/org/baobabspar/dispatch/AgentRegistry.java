package org.baobabspar.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.baobabspar.fleet.DomainDrains;
import org.baobabspar.fleet.Route;
import org.baobabspar.fleet.RunKey;
import org.baobabspar.message.RunStop;
import org.baobabspar.message.SupervisorHello;
import org.baobabspar.supervise.LeaseTimes;

/**
 * The agents that are known to an entry and their links.
 * <p>
 * Invariants: a link belongs to at most one agent; a run that an agent lists and the
 * entry does not want is ordered to stop before any lease is granted on the link. Not
 * thread-safe; used on the control thread only.
 */
final class AgentRegistry {

	private final DispatchOutbox outbox;

	private final List<AgentView> agents = new ArrayList<>();

	private final Map<String, AgentView> agentsByLink = new HashMap<>();

	/** Numbers of the links on which the hello of the agent is outstanding. */
	private final Map<String, Long> linksAwaitingHello = new HashMap<>();

	private final UnwantedRuns unwantedRuns = new UnwantedRuns();

	private long lastLinkNumber;

	private DomainDrains drains = DomainDrains.NONE;

	AgentRegistry(DispatchOutbox outbox) {
		this.outbox = outbox;
	}

	/**
	 * Registers a new link from an agent.
	 * @param link the link
	 * @return the number of the link
	 */
	long registerLink(String link) {
		this.linksAwaitingHello.put(link, ++this.lastLinkNumber);
		return this.lastLinkNumber;
	}

	/**
	 * Handles the hello of an agent, and orders the runs to stop that it lists and this
	 * entry does not want.
	 * <p>
	 * A hello is ignored if it answers the welcome of an earlier link or arrives on a
	 * link that the agent has replaced, since its list of runs may not include later
	 * starts. Example: two links are interrupted one after the other, and the bytes of
	 * the first arrive last.
	 * @param link the link
	 * @param hello the hello
	 * @param nowMillis the current time
	 */
	void handleHello(String link, SupervisorHello hello, long nowMillis) {
		if (!this.linksAwaitingHello.remove(link, hello.linkNumber())) {
			this.outbox.log("agent=" + hello.agent() + " hello=ignored link_number=" + hello.linkNumber());
			return;
		}
		AgentView agent = this.agents.stream()
			.filter((a) -> a.name.equals(hello.agent()) && a.incarnation == hello.incarnation())
			.findFirst()
			.orElseGet(() -> add(hello));
		if (hello.linkNumber() < agent.linkNumber) {
			this.outbox.log("agent=" + hello.agent() + " hello=ignored link_number=" + hello.linkNumber() + " newer="
					+ agent.linkNumber);
			return;
		}
		if (agent.link != null) {
			this.agentsByLink.remove(agent.link);
		}
		agent.linkNumber = hello.linkNumber();
		agent.attachLink(link, hello.status(), hello.runs(), nowMillis);
		this.agentsByLink.put(link, agent);
		this.outbox.log("agent=" + agent.name + " incarnation=" + agent.incarnation + " state=linked endpoint="
				+ hello.status().endpointId() + " runs=" + hello.runs().size());
		stopUnwantedRuns(agent);
	}

	private AgentView add(SupervisorHello hello) {
		AgentView agent = new AgentView(hello.agent(), hello.incarnation(), hello.domain());
		this.agents.add(agent);
		return agent;
	}

	private void stopUnwantedRuns(AgentView agent) {
		Set<RunKey> unwanted = new HashSet<>(agent.listedRuns);
		agent.outstandingTasks.values().forEach((task) -> unwanted.remove(task.runKey()));
		for (RunKey run : unwanted) {
			DispatchedTask wanted = agent.outstandingTasks.get(run.task());
			this.outbox.log("run=" + run.task() + "#" + run.number() + " agent=" + agent.name + " stop=unwanted wanted="
					+ ((wanted != null) ? "#" + wanted.runNumber : "none"));
			this.outbox.send(agent.link, new RunStop(run));
		}
		this.unwantedRuns.replace(agent, unwanted);
	}

	/**
	 * Returns the agent of a link.
	 * @param link the link
	 * @return the agent, empty if the link is not, or no longer, the link of an agent
	 */
	Optional<AgentView> find(String link) {
		return Optional.ofNullable(this.agentsByLink.get(link));
	}

	/**
	 * Returns the links of all agents that have said hello.
	 * @return the links
	 */
	List<String> links() {
		return List.copyOf(this.agentsByLink.keySet());
	}

	/**
	 * Returns whether each agent that may have runs is linked.
	 * @return whether no agent is known that has lost its link
	 */
	boolean allLinked() {
		return this.agents.size() == this.agentsByLink.size();
	}

	/**
	 * Unregisters a link that was closed. The agent stays known, since its runs go on
	 * until their lease expires and it may open a new link before that.
	 * @param link the link
	 */
	void unregisterLink(String link) {
		this.linksAwaitingHello.remove(link);
		AgentView agent = this.agentsByLink.remove(link);
		if (agent != null) {
			agent.link = null;
			this.outbox.log("agent=" + agent.name + " state=unlinked runs=" + agent.outstandingTasks.size());
		}
	}

	/**
	 * Removes the agents that have been silent for so long that their runs have ended.
	 * @param nowMillis the current time
	 * @return the agents that were removed
	 */
	List<AgentView> removeLost(long nowMillis) {
		List<AgentView> lost = this.agents.stream()
			.filter((a) -> nowMillis - a.lastHeardMillis > LeaseTimes.LOSS_MILLIS)
			.toList();
		for (AgentView agent : lost) {
			this.outbox.log("agent=" + agent.name + " incarnation=" + agent.incarnation + " state=lost silent_ms="
					+ (nowMillis - agent.lastHeardMillis) + " runs=" + agent.outstandingTasks.size());
			this.agents.remove(agent);
			this.unwantedRuns.removeAll(agent);
			if (agent.link != null) {
				this.agentsByLink.remove(agent.link);
				this.outbox.close(agent.link);
			}
		}
		return lost;
	}

	/**
	 * Records that an agent has reported the end of a run.
	 * @param agent the agent
	 * @param run the run
	 */
	void recordEnd(AgentView agent, RunKey run) {
		this.unwantedRuns.remove(agent, run);
	}

	/**
	 * Tells whether an agent still executes a run of a task that this entry has given up.
	 * @param task the name of the task
	 * @return whether the task must not be dispatched yet
	 */
	boolean hasUnwantedRun(String task) {
		return this.unwantedRuns.includesTask(task);
	}

	void drain(DomainDrains newDrains) {
		this.drains = newDrains;
	}

	long countDrained() {
		return this.agentsByLink.values().stream().filter((a) -> this.drains.includes(a.domain)).count();
	}

	List<AgentView> usable(Route route, long nowMillis) {
		return this.agents.stream()
			.filter((a) -> usable(a, nowMillis) && a.status.service().equals(route.service()))
			.toList();
	}

	boolean anyUsable(long nowMillis) {
		return this.agents.stream().anyMatch((a) -> usable(a, nowMillis));
	}

	private boolean usable(AgentView agent, long nowMillis) {
		return agent.usable(nowMillis) && !this.drains.includes(agent.domain);
	}

}
