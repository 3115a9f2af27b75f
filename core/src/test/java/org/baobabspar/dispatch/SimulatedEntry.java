package org.baobabspar.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.baobabspar.fleet.Route;
import org.baobabspar.message.EntryWelcome;
import org.baobabspar.message.LeaseRequest;
import org.baobabspar.message.Message;
import org.baobabspar.message.RunEnded;
import org.baobabspar.message.SupervisorHello;

/**
 * A simulated entry: a {@link Dispatcher} with the ticks, the detection of stalls and the
 * links of the real process, and the path between the entry and its callers.
 * <p>
 * Invariant: the dispatcher is called only while the process runs, with the time of the
 * clock of the process. Not thread-safe.
 */
final class SimulatedEntry implements DispatchOutbox {

	/** Time for which callers wait for an answer. */
	static final long CALLER_TIMEOUT_MILLIS = 6_000;

	private static final Route ROUTE = new Route("route", "host", "/", "service", 0, 3, 1.6, 60, "");

	/** An entry whose last tick is longer ago declines all its jobs. */
	private static final long STALL_MILLIS = 400;

	private static final long TICK_MILLIS = 20;

	private static final long IDLE_TICK_MILLIS = 100;

	private static final long BREAK_LATENCY_MILLIS = 3;

	final int number;

	final SimulatedProcess process;

	final List<SimulatedLink> links = new ArrayList<>();

	private final Simulation simulation;

	private final Map<String, SimulatedLink.Connection> connections = new LinkedHashMap<>();

	/** Connections of callers that wait for an answer. */
	private final Set<CallerConnection> callers = new LinkedHashSet<>();

	private long fromCallersCutUntilMillis;

	private long toCallersCutUntilMillis;

	private Dispatcher dispatcher;

	private long incarnation;

	private long lastTickMillis;

	SimulatedEntry(Simulation simulation, int number) {
		this.simulation = simulation;
		this.number = number;
		this.process = new SimulatedProcess("entry-" + number, simulation);
		boot();
	}

	private void boot() {
		this.process.boot();
		this.incarnation = this.process.timeOfDayMillis();
		this.dispatcher = new Dispatcher("domain", this);
		this.lastTickMillis = this.process.now();
		this.process.repeat(TICK_MILLIS, this::tick);
	}

	private long tick() {
		long nowMillis = this.process.now();
		detectStall(nowMillis);
		this.dispatcher.tick(nowMillis);
		return this.dispatcher.idle() ? IDLE_TICK_MILLIS : TICK_MILLIS;
	}

	private void detectStall(long nowMillis) {
		long gapMillis = nowMillis - this.lastTickMillis;
		this.lastTickMillis = nowMillis;
		if (gapMillis > STALL_MILLIS) {
			log("stalled_ms=" + gapMillis);
			this.dispatcher.declineAll("stalled", nowMillis);
		}
	}

	private long checkedNow() {
		long nowMillis = this.process.now();
		if (nowMillis - this.lastTickMillis > STALL_MILLIS) {
			detectStall(nowMillis);
		}
		return nowMillis;
	}

	void kill(long downMillis) {
		if (!this.process.alive()) {
			return;
		}
		this.process.kill();
		List.copyOf(this.connections.values()).forEach(SimulatedLink.Connection::closeByEntry);
		this.connections.clear();
		breakCallers();
		this.simulation.scheduleAfter(downMillis, this::boot);
	}

	// Callers

	void cutCallers(long fromCallersMillis, long toCallersMillis) {
		this.simulation.trace("fault", "entry=" + this.number + " cut from_callers_ms=" + fromCallersMillis
				+ " to_callers_ms=" + toCallersMillis);
		long nowMillis = this.simulation.nowMillis();
		this.fromCallersCutUntilMillis = Math.max(this.fromCallersCutUntilMillis, nowMillis + fromCallersMillis);
		this.toCallersCutUntilMillis = Math.max(this.toCallersCutUntilMillis, nowMillis + toCallersMillis);
	}

	/** Resets the connections of all callers, which both sides notice at once. */
	void resetCallers() {
		this.simulation.trace("fault", "entry=" + this.number + " reset callers=" + this.callers.size());
		List<CallerConnection> connections = List.copyOf(this.callers);
		this.callers.clear();
		connections.forEach((connection) -> {
			connection.reset();
			this.simulation.scheduleAfter(BREAK_LATENCY_MILLIS, connection::breakAtCaller);
			this.process.deliver(() -> abandon(connection));
		});
	}

	private void breakCallers() {
		long breakMillis = Math.max(this.simulation.nowMillis() + BREAK_LATENCY_MILLIS, this.toCallersCutUntilMillis);
		this.callers.forEach((connection) -> this.simulation.schedule(breakMillis, connection::breakAtCaller));
		this.callers.clear();
	}

	void submit(CallerConnection connection) {
		this.callers.add(connection);
		arrive(() -> {
			if (connection.wasReset()) {
				return;
			}
			long nowMillis = checkedNow();
			this.dispatcher.submit(connection.order, ROUTE, CALLER_TIMEOUT_MILLIS, connection, nowMillis);
			this.dispatcher.place(nowMillis);
		});
	}

	void reply(CallerConnection connection, JobReply reply) {
		this.process.transmit(() -> {
			if (this.callers.remove(connection)) {
				this.simulation.schedule(Math.max(this.simulation.nowMillis() + 1, this.toCallersCutUntilMillis),
						() -> connection.deliverReply(reply));
			}
		});
	}

	/**
	 * Closes a connection by its caller.
	 * @param connection the connection
	 */
	void disconnect(CallerConnection connection) {
		this.callers.remove(connection);
		arrive(() -> abandon(connection));
	}

	private void abandon(CallerConnection connection) {
		this.dispatcher.abandon(connection.order.id(), connection, checkedNow());
	}

	private void arrive(Runnable event) {
		int generation = this.process.generation();
		if (this.simulation.nowMillis() >= this.fromCallersCutUntilMillis) {
			this.process.deliver(event);
			return;
		}
		this.simulation.schedule(this.fromCallersCutUntilMillis, () -> {
			if (generation == this.process.generation()) {
				this.process.deliver(event);
			}
		});
	}

	// Agents

	void linkUp(SimulatedLink.Connection connection) {
		this.connections.put(connection.name, connection);
		send(connection.name, new EntryWelcome("entry-" + this.number, this.incarnation,
				this.dispatcher.registerLink(connection.name), 0));
	}

	void linkDown(SimulatedLink.Connection connection) {
		this.connections.remove(connection.name);
		this.dispatcher.unregisterLink(connection.name);
	}

	void receive(SimulatedLink.Connection connection, Message message) {
		long nowMillis = checkedNow();
		if (message instanceof LeaseRequest request) {
			this.dispatcher.handleLeaseRequest(connection.name, request, nowMillis);
		}
		else if (message instanceof RunEnded ended) {
			this.dispatcher.handleRunEnded(connection.name, ended, nowMillis);
		}
		else if (message instanceof SupervisorHello hello) {
			this.dispatcher.handleHello(connection.name, hello, nowMillis);
		}
		this.dispatcher.place(nowMillis);
	}

	@Override
	public void send(String link, Message message) {
		SimulatedLink.Connection connection = this.connections.get(link);
		if (connection != null) {
			connection.sendToAgent(message);
		}
	}

	@Override
	public void close(String link) {
		SimulatedLink.Connection connection = this.connections.remove(link);
		if (connection != null) {
			connection.closeByEntry();
			this.dispatcher.unregisterLink(link);
		}
	}

	@Override
	public void log(String line) {
		this.simulation.trace("entry-" + this.number, line);
	}

	@Override
	public void recordJobEnd(String route, JobReply reply, long ageMillis) {
	}

}
