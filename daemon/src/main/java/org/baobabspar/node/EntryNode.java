package org.baobabspar.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.baobabspar.daemon.Control;
import org.baobabspar.dispatch.DispatchOutbox;
import org.baobabspar.dispatch.Dispatcher;
import org.baobabspar.dispatch.JobReply;
import org.baobabspar.fleet.JobSubmission;
import org.baobabspar.fleet.Route;
import org.baobabspar.fleet.RoutingTable;
import org.baobabspar.message.EntryWelcome;
import org.baobabspar.message.LeaseRequest;
import org.baobabspar.message.Message;
import org.baobabspar.message.RoutingNotice;
import org.baobabspar.message.RunEnded;
import org.baobabspar.message.SupervisorHello;
import org.baobabspar.wire.LinkHandler;
import org.baobabspar.wire.Links;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/**
 * An entry: links to agents, a dispatcher on the control thread and the routing table in
 * force.
 * <p>
 * Invariants: the version of the table never falls; all calls of the dispatcher are made
 * on the control thread. Methods may be called from any thread.
 */
public final class EntryNode implements LinkHandler, DispatchOutbox {

	private static final Logger LOG = LogManager.getLogger(EntryNode.class);

	private static final long TICK_MILLIS = 20;

	/** While no job waits or runs, a tick only looks for agents that are lost. */
	private static final long IDLE_TICK_MILLIS = 100;

	/**
	 * Callers may have given this process up, and leases of its runs have lapsed, after a
	 * pause of this length.
	 */
	private static final long STALL_MILLIS = 400;

	/** A version in a storm of them is passed on at most this often. */
	private static final long ROUTING_PASS_MILLIS = 2_000;

	private final String name;

	private final long incarnation = System.currentTimeMillis();

	private final SuspendAwareClock clock;

	private final Control control;

	private final Links links;

	private final Dispatcher dispatcher;

	private final NodeMetrics metrics;

	private final AtomicReference<RoutingTable> table = new AtomicReference<>();

	private final Map<String, Long> routingSent = new HashMap<>();

	private long routingPassedMillis;

	private long lastTickMillis;

	private boolean placeDue;

	private volatile boolean servable;

	private volatile boolean draining;

	private volatile boolean refusing;

	private volatile long open;

	/**
	 * Create an entry.
	 * @param name its name
	 * @param domain its failure domain
	 * @param clock its clock
	 * @param loops event loops for traffic
	 * @param metrics its metrics
	 */
	public EntryNode(String name, String domain, SuspendAwareClock clock, LoopResources loops, NodeMetrics metrics) {
		this.name = name;
		this.clock = clock;
		this.metrics = metrics;
		this.control = new Control("control");
		this.links = new Links(this.control.scheduler(), loops, this);
		this.dispatcher = new Dispatcher(domain, this);
		this.lastTickMillis = clock.now();
	}

	/**
	 * Listen for agents and start working.
	 * @param host the local address
	 * @param port the port, 0 for any
	 * @return the port
	 */
	public int start(String host, int port) {
		int bound = this.links.listen(host, port);
		this.control.repeat(this::tick);
		LOG.info("entry: start name={} incarnation={} links={}:{}", this.name, this.incarnation, host, bound);
		return bound;
	}

	private long tick() {
		long now = this.clock.now();
		noticeStall(now);
		this.dispatcher.tick(now);
		passRouting(now);
		boolean can = this.dispatcher.servable(now);
		if (can != this.servable) {
			LOG.info("entry: servable={}", can);
			this.servable = can;
		}
		this.open = this.dispatcher.openJobCount();
		return this.dispatcher.idle() ? IDLE_TICK_MILLIS : TICK_MILLIS;
	}

	private void noticeStall(long now) {
		long gap = now - this.lastTickMillis;
		this.lastTickMillis = now;
		if (gap > STALL_MILLIS) {
			LOG.info("entry: stalled_ms={}", gap);
			this.dispatcher.declineAll("entry_stalled", now);
		}
	}

	private long enter() {
		long now = this.clock.now();
		if (now - this.lastTickMillis > STALL_MILLIS) {
			noticeStall(now);
		}
		return now;
	}

	private void placeSoon() {
		if (!this.placeDue && !this.dispatcher.idle()) {
			this.placeDue = true;
			this.control.run(this::place);
		}
	}

	private void place() {
		this.placeDue = false;
		this.dispatcher.place(enter());
	}

	// Callers

	/**
	 * Find the route of a request.
	 * @param host the host that the caller named
	 * @param path the path
	 * @return the route, if there is a table and it has one
	 */
	public Optional<Route> route(String host, String path) {
		return table().flatMap((t) -> t.find(host, path));
	}

	/**
	 * Return the routing table in force.
	 * @return the table, empty before the first is known
	 */
	public Optional<RoutingTable> table() {
		return Optional.ofNullable(this.table.get());
	}

	/**
	 * Put a routing table in force unless a newer one is.
	 * @param t the table
	 * @param source where it came from
	 */
	public void adopt(RoutingTable t, String source) {
		RoutingTable before = this.table.getAndUpdate((o) -> (o == null || t.version() > o.version()) ? t : o);
		if (before == null || t.version() > before.version()) {
			LOG.info("entry: routing version={} routes={} source={} before={}", t.version(), t.routes().size(), source,
					(before != null) ? before.version() : 0);
		}
	}

	/**
	 * Submit a job. Cancelling the subscription abandons it.
	 * @param order the job
	 * @param route its route
	 * @param timeoutMillis how long the caller waits
	 * @return its answer
	 */
	public Mono<JobReply> submit(JobSubmission order, Route route, long timeoutMillis) {
		return Mono.create((sink) -> {
			Consumer<JobReply> caller = sink::success;
			sink.onCancel(() -> this.control.run(() -> this.dispatcher.abandon(order.id(), caller, enter())));
			this.control.run(() -> {
				this.dispatcher.submit(order, route, timeoutMillis, caller, enter());
				placeSoon();
			});
		});
	}

	/**
	 * Cancel a job.
	 * @param id the job
	 * @return whether it was known
	 */
	public Mono<Boolean> cancel(String id) {
		return this.control.call(() -> this.dispatcher.cancel(id, enter()));
	}

	/**
	 * Count the jobs of a route that wait.
	 * @param route the route
	 * @return how many
	 */
	public Mono<Long> pendingJobs(String route) {
		return this.control.call(() -> this.dispatcher.pendingJobCount(route));
	}

	/**
	 * Tell whether new connections are welcome.
	 * @return whether jobs can be served here
	 */
	public boolean ready() {
		return this.servable && !this.draining && this.table.get() != null;
	}

	/** Ask for no new connections, since the process is about to end. */
	public void drain() {
		this.draining = true;
		LOG.info("entry: draining jobs={}", this.open);
	}

	public boolean draining() {
		return this.draining;
	}

	/** Take no more jobs, since there is no time left for them. */
	public void rejectNewJobs() {
		this.refusing = true;
		LOG.info("entry: refusing new jobs, open={}", this.open);
	}

	public boolean rejectingNewJobs() {
		return this.refusing;
	}

	/** Answer all jobs that are left, just before the process ends. */
	public void declineAll() {
		this.control.run(() -> this.dispatcher.declineAll("entry_stopping", enter()));
	}

	/**
	 * Count the jobs whose callers wait.
	 * @return how many, as of the last tick
	 */
	public long openJobs() {
		return this.open;
	}

	// Agents

	private long routingVersion() {
		return table().map(RoutingTable::version).orElse(0L);
	}

	/**
	 * Pass the table on to agents, who keep it for entries that cannot reach the store.
	 * Changes in quick succession go together.
	 * @param now the time
	 */
	private void passRouting(long now) {
		RoutingTable t = this.table.get();
		if (t == null || now - this.routingPassedMillis < ROUTING_PASS_MILLIS) {
			return;
		}
		this.routingPassedMillis = now;
		this.routingSent.replaceAll((link, version) -> {
			if (t.version() > version) {
				this.links.send(link, new RoutingNotice(t));
			}
			return t.version();
		});
	}

	@Override
	public void linkUp(String link) {
		this.links.send(link,
				new EntryWelcome(this.name, this.incarnation, this.dispatcher.registerLink(link), routingVersion()));
		this.routingSent.put(link, 0L);
	}

	@Override
	public void receive(String link, Message m) {
		long now = enter();
		if (m instanceof LeaseRequest r) {
			this.dispatcher.handleLeaseRequest(link, r, now);
		}
		else if (m instanceof RunEnded e) {
			this.dispatcher.handleRunEnded(link, e, now);
		}
		else if (m instanceof SupervisorHello h) {
			this.dispatcher.handleHello(link, h, now);
		}
		else if (m instanceof RoutingNotice r) {
			adopt(r.table(), "agent");
		}
		else {
			LOG.warn("entry: ignored message={} link={}", m.getClass().getSimpleName(), link);
		}
		placeSoon();
	}

	@Override
	public void linkDown(String link, boolean refused) {
		this.routingSent.remove(link);
		this.dispatcher.unregisterLink(link);
	}

	@Override
	public void send(String link, Message m) {
		this.links.send(link, m);
	}

	@Override
	public void close(String link) {
		this.links.close(link);
	}

	@Override
	public void log(String line) {
		LOG.info("dispatch: {}", line);
	}

	@Override
	public void recordJobEnd(String route, JobReply reply, long millis) {
		this.metrics.recordJob(route, reply, millis);
	}

}
