package org.baobabspar.dispatch;

import org.baobabspar.message.Message;

/**
 * The path between an entry and an agent, with the connections that the agent opens on
 * it. While a direction is cut, what is sent in that direction arrives when the cut ends,
 * and no connection is opened.
 * <p>
 * Invariants: a connection preserves the order of messages in each direction; an agent
 * opens a connection only after it has closed the last one; the messages that a side sent
 * before it closed a connection still arrive, but nothing arrives after a reset. Not
 * thread-safe.
 */
final class SimulatedLink {

	private static final long LATENCY_MILLIS = 1;

	private static final long CONNECT_MILLIS = 5;

	private static final long CONNECT_RETRY_MILLIS = 100;

	private final Simulation simulation;

	private final SimulatedEntry entry;

	private final SimulatedAgent agent;

	private long toAgentCutUntilMillis;

	private long toEntryCutUntilMillis;

	private long lastDialNumber;

	private Connection current;

	SimulatedLink(Simulation simulation, SimulatedEntry entry, SimulatedAgent agent) {
		this.simulation = simulation;
		this.entry = entry;
		this.agent = agent;
	}

	String entryNumber() {
		return String.valueOf(this.entry.number);
	}

	void cut(long millis) {
		cutToAgent(millis);
		cutToEntry(millis);
	}

	void cutToAgent(long millis) {
		trace("cut to_agent millis=" + millis);
		this.toAgentCutUntilMillis = Math.max(this.toAgentCutUntilMillis, this.simulation.nowMillis() + millis);
	}

	void cutToEntry(long millis) {
		trace("cut to_entry millis=" + millis);
		this.toEntryCutUntilMillis = Math.max(this.toEntryCutUntilMillis, this.simulation.nowMillis() + millis);
	}

	private void trace(String line) {
		this.simulation.trace("fault", "entry=" + this.entry.number + " agent=" + this.agent.number + " " + line);
	}

	/**
	 * Opens a connection as soon as both processes run and neither direction is cut.
	 */
	void dial() {
		long dialNumber = ++this.lastDialNumber;
		long uncutMillis = Math.max(this.toAgentCutUntilMillis, this.toEntryCutUntilMillis);
		this.simulation.schedule(Math.max(this.simulation.nowMillis() + CONNECT_MILLIS, uncutMillis),
				() -> connect(dialNumber));
	}

	private void connect(long dialNumber) {
		if (dialNumber != this.lastDialNumber || !this.agent.process.alive()) {
			return;
		}
		if (!this.entry.process.alive() || this.entry.process.frozen() || this.agent.process.frozen()) {
			this.simulation.scheduleAfter(CONNECT_RETRY_MILLIS, () -> {
				if (dialNumber == this.lastDialNumber) {
					dial();
				}
			});
			return;
		}
		this.current = new Connection("agent-" + this.agent.number + "/" + dialNumber);
		this.agent.linkUp(this);
		this.entry.linkUp(this.current);
	}

	void sendToEntry(Message message) {
		if (this.current != null) {
			this.current.sendToEntry(message);
		}
	}

	/** Resets the connection, which both sides notice at once. */
	void reset() {
		if (this.current != null) {
			trace("reset");
			this.current.reset();
		}
	}

	/** Closes the connection by the agent, which opens another one. */
	void closeByAgent() {
		if (this.current != null) {
			this.current.closeByAgent();
			this.current = null;
		}
		dial();
	}

	/** Closes the connection because the agent was killed. */
	void agentKilled() {
		this.lastDialNumber++;
		if (this.current != null) {
			this.current.closeByAgent();
			this.current = null;
		}
	}

	/**
	 * One connection. Each side uses it until it has closed it or has learned that the
	 * other one did.
	 */
	final class Connection {

		final String name;

		private boolean reset;

		private boolean openAtAgent = true;

		private boolean openAtEntry = true;

		private long lastArrivalAtAgentMillis;

		private long lastArrivalAtEntryMillis;

		Connection(String name) {
			this.name = name;
		}

		void sendToAgent(Message message) {
			if (this.openAtEntry) {
				SimulatedLink.this.entry.process
					.transmit(() -> arriveAtAgent(() -> SimulatedLink.this.agent.receive(SimulatedLink.this, message)));
			}
		}

		private void sendToEntry(Message message) {
			if (this.openAtAgent) {
				SimulatedLink.this.agent.process
					.transmit(() -> arriveAtEntry(() -> SimulatedLink.this.entry.receive(this, message)));
			}
		}

		private void arriveAtAgent(Runnable event) {
			this.lastArrivalAtAgentMillis = Math.max(this.lastArrivalAtAgentMillis,
					arrivalMillis(SimulatedLink.this.toAgentCutUntilMillis));
			SimulatedLink.this.simulation.schedule(this.lastArrivalAtAgentMillis, () -> {
				if (!this.reset) {
					SimulatedLink.this.agent.process.deliver(() -> runIf(this.openAtAgent, event));
				}
			});
		}

		private void arriveAtEntry(Runnable event) {
			this.lastArrivalAtEntryMillis = Math.max(this.lastArrivalAtEntryMillis,
					arrivalMillis(SimulatedLink.this.toEntryCutUntilMillis));
			SimulatedLink.this.simulation.schedule(this.lastArrivalAtEntryMillis, () -> {
				if (!this.reset) {
					SimulatedLink.this.entry.process.deliver(() -> runIf(this.openAtEntry, event));
				}
			});
		}

		private long arrivalMillis(long cutUntilMillis) {
			return Math.max(SimulatedLink.this.simulation.nowMillis() + LATENCY_MILLIS, cutUntilMillis);
		}

		private void runIf(boolean condition, Runnable event) {
			if (condition) {
				event.run();
			}
		}

		private void reset() {
			this.reset = true;
			SimulatedLink.this.agent.process.deliver(this::closedAtAgent);
			SimulatedLink.this.entry.process.deliver(this::closedAtEntry);
		}

		private void closeByAgent() {
			this.openAtAgent = false;
			arriveAtEntry(this::closedAtEntry);
		}

		/** Closes the connection by the entry, or because the entry was killed. */
		void closeByEntry() {
			if (this.openAtEntry) {
				this.openAtEntry = false;
				arriveAtAgent(this::closedAtAgent);
			}
		}

		private void closedAtAgent() {
			if (this.openAtAgent) {
				this.openAtAgent = false;
				SimulatedLink.this.current = null;
				SimulatedLink.this.agent.linkDown(SimulatedLink.this);
				dial();
			}
		}

		private void closedAtEntry() {
			if (this.openAtEntry) {
				this.openAtEntry = false;
				SimulatedLink.this.entry.linkDown(this);
			}
		}

	}

}
