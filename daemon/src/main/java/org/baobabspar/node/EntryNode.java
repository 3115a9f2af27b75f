package org.baobabspar.node;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.baobabspar.daemon.Control;
import org.baobabspar.dispatch.CancelOutcome;
import org.baobabspar.dispatch.DispatchOutbox;
import org.baobabspar.dispatch.Dispatcher;
import org.baobabspar.dispatch.JobOutcome;
import org.baobabspar.dispatch.JobReply;
import org.baobabspar.dispatch.RequestArrival;
import org.baobabspar.fleet.DomainDrains;
import org.baobabspar.fleet.JobSubmission;
import org.baobabspar.fleet.Route;
import org.baobabspar.fleet.RoutingTable;
import org.baobabspar.message.CancelNotice;
import org.baobabspar.message.CancelReply;
import org.baobabspar.message.DrainNotice;
import org.baobabspar.message.EntryWelcome;
import org.baobabspar.message.JobClaim;
import org.baobabspar.message.JobClaimReply;
import org.baobabspar.message.LeaseRequest;
import org.baobabspar.message.Message;
import org.baobabspar.message.RoutingNotice;
import org.baobabspar.message.RunEnded;
import org.baobabspar.message.SupervisorHello;
import org.baobabspar.wire.LinkHandler;
import org.baobabspar.wire.LinkLimits;
import org.baobabspar.wire.Links;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/**
 * The process of an entry: links to agents, a dispatcher that runs on the control thread,
 * and the current routing table.
 * <p>
 * Invariants: the version of the routing table never decreases; the dispatcher is called
 * on the control thread only. Thread-safe.
 */
public final class EntryNode implements LinkHandler, DispatchOutbox {

	private static final Logger LOG = LogManager.getLogger(EntryNode.class);

	private static final long TICK_MILLIS = 20;

	/** While no job waits or runs, a tick only detects lost agents. */
	private static final long IDLE_TICK_MILLIS = 100;

	/**
	 * Interval between ticks beyond which the process counts as stalled. After such a
	 * pause, callers may have given up, and the leases of its runs have expired.
	 */
	private static final long STALL_MILLIS = 400;

	/** A routing table of the largest size that the store takes, and room to spare. */
	static final int MAX_FRAME_BYTES = 4 << 20;

	/** Minimum interval between routing notices, for frequent routing changes. */
	private static final long ROUTING_NOTICE_INTERVAL_MILLIS = 2_000;

	private static final JobReply STOPPING = new JobReply(JobOutcome.REFUSED, "entry_stopping", 1);

	private final String name;

	private final long incarnation = System.currentTimeMillis();

	private final Control control;

	private final Links links;

	private final Dispatcher dispatcher;

	private final NodeMetrics metrics;

	private final AtomicReference<RoutingTable> table = new AtomicReference<>();

	private final Map<String, Long> routingVersionSent = new HashMap<>();

	private long lastRoutingNoticeMillis;

	private long lastTickMillis;

	private boolean placementScheduled;

	private volatile boolean servable;

	private volatile boolean draining;

	private volatile boolean rejectingNewJobs;

	private volatile long openJobs;

	/**
	 * Creates an entry.
	 * @param name the name of the entry
	 * @param domain the failure domain
	 * @param loops the event loops for network traffic
	 * @param metrics the metrics to update
	 * @param maxUnprovenLinks largest number of links on which no message has arrived
	 */
	public EntryNode(String name, String domain, LoopResources loops, NodeMetrics metrics, int maxUnprovenLinks) {
		this.name = name;
		this.metrics = metrics;
		this.control = new Control("control");
		this.links = new Links(this.control.scheduler(), loops, this,
				new LinkLimits(MAX_FRAME_BYTES, maxUnprovenLinks));
		this.dispatcher = new Dispatcher(domain, this);
		this.lastTickMillis = this.control.now();
	}

	/**
	 * Listens for agents and starts periodic work.
	 * @param host the local address
	 * @param port the port, 0 for any
	 * @return the bound port
	 */
	public int start(String host, int port) {
		int bound = this.links.listen(host, port);
		this.control.repeat(this::tick);
		LOG.info("entry: start name={} incarnation={} links={}:{}", this.name, this.incarnation, host, bound);
		return bound;
	}

	private long tick() {
		long now = checkedNow();
		detectStall(now);
		this.dispatcher.tick(now);
		sendRoutingNotices(now);
		boolean nowServable = this.dispatcher.servable(now);
		if (nowServable != this.servable) {
			LOG.info("entry: servable={}", nowServable);
			this.servable = nowServable;
		}
		this.openJobs = this.dispatcher.openJobCount();
		this.metrics.recordDrainedEndpoints(this.dispatcher.drainedEndpointCount());
		return this.dispatcher.idle() ? IDLE_TICK_MILLIS : TICK_MILLIS;
	}

	private void detectStall(long now) {
		long gap = now - this.lastTickMillis;
		this.lastTickMillis = now;
		if (gap > STALL_MILLIS) {
			LOG.info("entry: stalled_ms={}", gap);
			this.dispatcher.declineAll("entry_stalled", now);
		}
	}

	/**
	 * Returns the current time, after declining all jobs if the process has stalled since
	 * the last tick. Reads both clocks, which may show that the VM was suspended.
	 * @return the current time
	 */
	private long checkedNow() {
		long timeOfDay = System.currentTimeMillis();
		long now = this.control.now();
		if (now - this.lastTickMillis > STALL_MILLIS) {
			detectStall(now);
		}
		this.dispatcher.observeTimeOfDay(timeOfDay, now);
		return now;
	}

	private void schedulePlacement() {
		if (!this.placementScheduled && !this.dispatcher.idle()) {
			this.placementScheduled = true;
			this.control.run(this::place);
		}
	}

	private void place() {
		this.placementScheduled = false;
		this.dispatcher.place(checkedNow());
	}

	// Callers

	/**
	 * Returns the route of a request.
	 * @param host the requested host
	 * @param path the request path
	 * @return the route, or empty if there is no routing table or no matching route
	 */
	public Optional<Route> route(String host, String path) {
		return table().flatMap((t) -> t.find(host, path));
	}

	/**
	 * Returns the current routing table.
	 * @return the table, or empty if none has been received
	 */
	public Optional<RoutingTable> table() {
		return Optional.ofNullable(this.table.get());
	}

	/**
	 * Replaces the routing table, unless the current one has the same or a newer version.
	 * @param candidate the table
	 * @param source the source of the table, for the log
	 */
	public void adopt(RoutingTable candidate, String source) {
		RoutingTable before = this.table.getAndUpdate(
				(current) -> (current == null || candidate.version() > current.version()) ? candidate : current);
		if (before == null || candidate.version() > before.version()) {
			LOG.info("entry: routing version={} routes={} source={} before={}", candidate.version(),
					candidate.routes().size(), source, (before != null) ? before.version() : 0);
		}
	}

	/**
	 * Adopts the drains of failure domains, unless newer ones are known.
	 * @param drains the drains
	 */
	public void adopt(DomainDrains drains) {
		this.control.run(() -> this.dispatcher.adoptDrains(drains, "store"));
	}

	/**
	 * Submits a job. Cancelling the subscription abandons the job. All the time for which
	 * the request may have waited, in a socket or for the control thread, counts as part
	 * of the time for which the caller waits.
	 * @param order the job
	 * @param route the route of the job
	 * @param arrival when the request arrived
	 * @param timeoutMillis the time for which the caller waits
	 * @return the reply
	 */
	public Mono<JobReply> submit(JobSubmission order, Route route, RequestArrival arrival, long timeoutMillis) {
		return Mono.create((sink) -> {
			Consumer<JobReply> caller = sink::success;
			sink.onCancel(() -> this.control.run(() -> this.dispatcher.abandon(order.id(), caller, checkedNow())));
			this.control.run(() -> {
				if (this.rejectingNewJobs) {
					LOG.info("entry: job={} refused reason=entry_stopping", order.id());
					caller.accept(STOPPING);
					return;
				}
				long now = checkedNow();
				long suspendedMillis = this.dispatcher.suspendedMillisSince(arrival.earliestMillis());
				logDelay(order, arrival, suspendedMillis, timeoutMillis, now);
				long waitedMillis = arrival.maxWaitedMillis(now) + suspendedMillis;
				boolean fresh = !arrival.mayBeOld(now) && suspendedMillis == 0;
				this.dispatcher.submit(order, route, timeoutMillis - waitedMillis, fresh, caller, now);
				schedulePlacement();
			});
		});
	}

	private static void logDelay(JobSubmission order, RequestArrival arrival, long suspendedMillis, long timeoutMillis,
			long now) {
		if (arrival.mayBeOld(now) || suspendedMillis > 0) {
			LOG.info("entry: job={} sent_ms_ago_max={} unread_ms_max={} suspended_ms={} timeout_ms={}", order.id(),
					now - arrival.earliestSentMillis(), arrival.maxUnreadMillis(), suspendedMillis, timeoutMillis);
		}
	}

	/**
	 * Cancels a job, whichever entry holds it.
	 * @param id the job
	 * @return the outcome
	 */
	public Mono<CancelOutcome> cancel(String id) {
		return Mono.create((sink) -> this.control.run(() -> this.dispatcher.cancel(id, sink::success, checkedNow())));
	}

	/**
	 * Returns the number of pending jobs of a route.
	 * @param route the name of the route
	 * @return the number of jobs
	 */
	public Mono<Long> pendingJobs(String route) {
		return this.control.call(() -> this.dispatcher.pendingJobCount(route));
	}

	/**
	 * Returns whether the entry is ready for new connections.
	 * @return whether jobs can be served and the entry is not draining
	 */
	public boolean ready() {
		return this.servable && !this.draining && this.table.get() != null;
	}

	/** Starts draining: reports not ready, so that no new connections are opened. */
	public void drain() {
		this.draining = true;
		LOG.info("entry: draining jobs={}", this.openJobs);
	}

	public boolean draining() {
		return this.draining;
	}

	/**
	 * Rejects new jobs from soon on, since too little time is left to run them. That
	 * includes those whose requests have begun and are not complete.
	 */
	public void rejectNewJobs() {
		this.control.run(() -> {
			this.openJobs = this.dispatcher.openJobCount();
			this.rejectingNewJobs = true;
			LOG.info("entry: refusing new jobs, open={}", this.openJobs);
		});
	}

	/**
	 * Returns whether new jobs are rejected. From then on {@link #openJobs()} only falls.
	 * @return whether they are
	 */
	public boolean rejectingNewJobs() {
		return this.rejectingNewJobs;
	}

	/** Declines all remaining jobs, just before the process exits. */
	public void declineAll() {
		this.control.run(() -> this.dispatcher.declineAll("entry_stopping", checkedNow()));
	}

	/**
	 * Returns the number of jobs whose callers are waiting.
	 * @return the number as of the last tick
	 */
	public long openJobs() {
		return this.openJobs;
	}

	// Agents

	private long routingVersion() {
		return table().map(RoutingTable::version).orElse(0L);
	}

	/**
	 * Sends the routing table to agents, which keep it for entries that cannot reach the
	 * store. Changes within the minimum interval are combined.
	 * @param now the current time
	 */
	private void sendRoutingNotices(long now) {
		RoutingTable current = this.table.get();
		if (current == null || now - this.lastRoutingNoticeMillis < ROUTING_NOTICE_INTERVAL_MILLIS) {
			return;
		}
		this.lastRoutingNoticeMillis = now;
		this.routingVersionSent.replaceAll((link, version) -> {
			if (current.version() > version) {
				this.links.send(link, new RoutingNotice(current));
			}
			return current.version();
		});
	}

	@Override
	public void linkUp(String link) {
		this.links.send(link,
				new EntryWelcome(this.name, this.incarnation, this.dispatcher.registerLink(link), routingVersion()));
		this.routingVersionSent.put(link, 0L);
	}

	@Override
	public void receive(String link, Message message) {
		long now = checkedNow();
		if (message instanceof LeaseRequest request) {
			this.dispatcher.handleLeaseRequest(link, request, now);
		}
		else if (message instanceof RunEnded runEnded) {
			this.dispatcher.handleRunEnded(link, runEnded, now);
		}
		else if (message instanceof SupervisorHello hello) {
			this.dispatcher.handleHello(link, hello, now);
		}
		else if (message instanceof CancelNotice notice) {
			this.dispatcher.handleCancelNotice(link, notice, now);
		}
		else if (message instanceof CancelReply reply) {
			this.dispatcher.handleCancelReply(link, reply);
		}
		else if (message instanceof JobClaim claim) {
			this.dispatcher.handleJobClaim(link, claim, now);
		}
		else if (message instanceof JobClaimReply reply) {
			this.dispatcher.handleJobClaimReply(link, reply, now);
		}
		else if (message instanceof DrainNotice notice) {
			this.dispatcher.adoptDrains(notice.drains(), link);
		}
		else if (message instanceof RoutingNotice notice) {
			adopt(notice.table(), "agent");
		}
		else {
			LOG.warn("entry: ignored message={} link={}", message.getClass().getSimpleName(), link);
		}
		schedulePlacement();
	}

	@Override
	public void linkDown(String link, boolean refused) {
		this.routingVersionSent.remove(link);
		this.dispatcher.unregisterLink(link);
	}

	@Override
	public void send(String link, Message message) {
		this.links.send(link, message);
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
