package org.baobabspar.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.baobabspar.fleet.DomainDrains;
import org.baobabspar.fleet.Route;
import org.baobabspar.message.CancelNotice;
import org.baobabspar.message.CancelReply;
import org.baobabspar.message.DrainNotice;
import org.baobabspar.message.EntryWelcome;
import org.baobabspar.message.JobClaim;
import org.baobabspar.message.JobClaimReply;
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

	private static final Route ROUTE = new Route("route", "host", "/", "service", 0, 3, 1.6, 60, "");

	/** An entry whose last tick is longer ago declines all its jobs. */
	private static final long STALL_MILLIS = 400;

	private static final long TICK_MILLIS = 20;

	private static final long IDLE_TICK_MILLIS = 100;

	private static final long READ_INTERVAL_MILLIS = 500;

	private static final long BREAK_LATENCY_MILLIS = 3;

	final int number;

	final SimulatedProcess process;

	final List<SimulatedLink> links = new ArrayList<>();

	private final Simulation simulation;

	private final Map<String, SimulatedLink.Connection> connections = new LinkedHashMap<>();

	/** Connections of callers that wait for an answer. */
	private final Set<CallerConnection> callers = new LinkedHashSet<>();

	/** Events from callers that are held up by a cut, in their order. */
	private final List<Runnable> heldUpEvents = new ArrayList<>();

	private long fromCallersCutUntilMillis;

	private long toCallersCutUntilMillis;

	private long closesDelayedUntilMillis;

	private Dispatcher dispatcher;

	private long incarnation;

	private long lastTickMillis;

	private ArrivalClock arrivals;

	/** The operator's drains, for entries that can read its log. */
	private Supplier<DomainDrains> operator = () -> DomainDrains.NONE;

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
		this.arrivals = new ArrivalClock(this.process::now);
		this.process.repeat(ArrivalClock.TICK_MILLIS, this::tickArrivals);
		this.process.repeat(READ_INTERVAL_MILLIS, this::readDrains);
	}

	void readDrainsFrom(Supplier<DomainDrains> newOperator) {
		this.operator = newOperator;
	}

	private long readDrains() {
		this.dispatcher.adoptDrains(this.operator.get(), "store");
		return READ_INTERVAL_MILLIS;
	}

	private long tickArrivals() {
		this.arrivals.tick();
		return ArrivalClock.TICK_MILLIS;
	}

	private long tick() {
		long nowMillis = checkedNow();
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
		this.dispatcher.observeTimeOfDay(this.process.timeOfDayMillis(), nowMillis);
		return nowMillis;
	}

	void kill(long downMillis) {
		if (!this.process.alive()) {
			return;
		}
		this.process.kill();
		this.heldUpEvents.clear();
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

	/**
	 * Lets connections that callers close from now on seem open to this entry.
	 * @param millis for how long
	 */
	void delayCloses(long millis) {
		this.simulation.trace("fault", "entry=" + this.number + " closes delayed millis=" + millis);
		this.closesDelayedUntilMillis = Math.max(this.closesDelayedUntilMillis, this.simulation.nowMillis() + millis);
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

	/**
	 * Submits a job, once everything has been read that arrived with its request. The
	 * connection was opened long ago, so that it doesn't bound the age of the request.
	 * @param connection the connection of the caller
	 */
	void submit(CallerConnection connection) {
		this.callers.add(connection);
		arrive(() -> {
			RequestArrival arrival = this.arrivals.read(Long.MIN_VALUE);
			int generation = this.process.generation();
			this.simulation.scheduleAfter(0, () -> {
				if (generation == this.process.generation()) {
					this.process.deliver(() -> submit(connection, arrival));
				}
			});
		});
	}

	private void submit(CallerConnection connection, RequestArrival arrival) {
		if (connection.wasReset() || connection.closeWasRead()) {
			return;
		}
		long nowMillis = checkedNow();
		long suspendedMillis = this.dispatcher.suspendedMillisSince(arrival.earliestMillis());
		long waitedMillis = arrival.maxWaitedMillis(nowMillis) + suspendedMillis;
		boolean fresh = !arrival.mayBeOld(nowMillis) && suspendedMillis == 0;
		this.dispatcher.submit(connection.order, ROUTE, connection.timeoutMillis - waitedMillis, fresh, connection,
				nowMillis);
		this.dispatcher.place(nowMillis);
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
	 * Cancels a job at the request of its caller.
	 * @param jobId id of the job
	 * @param caller receives the outcome, unless the entry is lost before
	 */
	void cancel(String jobId, Consumer<CancelOutcome> caller) {
		arrive(() -> this.dispatcher.cancel(jobId, (outcome) -> this.process.transmit(() -> caller.accept(outcome)),
				checkedNow()));
	}

	/**
	 * Closes a connection by its caller.
	 * @param connection the connection
	 */
	void disconnect(CallerConnection connection) {
		this.callers.remove(connection);
		int generation = this.process.generation();
		this.simulation.schedule(this.closesDelayedUntilMillis, () -> {
			if (generation == this.process.generation()) {
				arrive(() -> abandon(connection));
			}
		});
	}

	private void abandon(CallerConnection connection) {
		connection.readClose();
		this.dispatcher.abandon(connection.order.id(), connection, checkedNow());
	}

	/**
	 * Delivers an event from a caller, in the order of the events, once the path from the
	 * callers is not cut.
	 * @param event handles the event
	 */
	private void arrive(Runnable event) {
		this.heldUpEvents.add(event);
		deliverHeldUpEvents();
	}

	private void deliverHeldUpEvents() {
		if (this.simulation.nowMillis() < this.fromCallersCutUntilMillis) {
			this.simulation.schedule(this.fromCallersCutUntilMillis, this::deliverHeldUpEvents);
			return;
		}
		List<Runnable> events = List.copyOf(this.heldUpEvents);
		this.heldUpEvents.clear();
		events.forEach(this.process::deliver);
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
		else if (message instanceof DrainNotice notice) {
			this.dispatcher.adoptDrains(notice.drains(), connection.name);
		}
		else if (message instanceof CancelNotice notice) {
			this.dispatcher.handleCancelNotice(connection.name, notice, nowMillis);
		}
		else if (message instanceof CancelReply reply) {
			this.dispatcher.handleCancelReply(connection.name, reply);
		}
		else if (message instanceof JobClaim claim) {
			this.dispatcher.handleJobClaim(connection.name, claim, nowMillis);
		}
		else if (message instanceof JobClaimReply reply) {
			this.dispatcher.handleJobClaimReply(connection.name, reply, nowMillis);
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
