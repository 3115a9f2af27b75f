package org.baobabspar.node;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.baobabspar.daemon.Control;
import org.baobabspar.fleet.RoutingTable;
import org.baobabspar.message.CancelNotice;
import org.baobabspar.message.CancelReply;
import org.baobabspar.message.DrainNotice;
import org.baobabspar.message.EntryWelcome;
import org.baobabspar.message.JobClaim;
import org.baobabspar.message.JobClaimReply;
import org.baobabspar.message.LeaseGrant;
import org.baobabspar.message.Message;
import org.baobabspar.message.RoutingNotice;
import org.baobabspar.message.RunStart;
import org.baobabspar.message.RunStop;
import org.baobabspar.supervise.EndpointCheckpoint;
import org.baobabspar.supervise.EndpointDriver;
import org.baobabspar.supervise.EntrySelection;
import org.baobabspar.supervise.LeaseTimes;
import org.baobabspar.supervise.RunSupervisor;
import org.baobabspar.wire.LinkAddress;
import org.baobabspar.wire.LinkHandler;
import org.baobabspar.wire.LinkLimits;
import org.baobabspar.wire.Links;
import reactor.netty.resources.LoopResources;

/**
 * The process of an agent: links to entries and a supervisor of the local endpoint. A
 * link that delivers no lease grants is closed and reopened, because a connection may
 * stop delivering data without being closed.
 * <p>
 * Invariant: the supervisor is called on the control thread only. Thread-safe.
 */
public final class AgentNode implements LinkHandler {

	private static final Logger LOG = LogManager.getLogger(AgentNode.class);

	/** While nothing runs, the next lease request is the earliest work that is due. */
	private static final long IDLE_TICK_MILLIS = 100;

	/**
	 * Three lease requests without a grant; the lease of an entry is only a little
	 * longer.
	 */
	private static final long SILENT_LINK_TIMEOUT_MILLIS = 300;

	/** The timeout while nothing runs and lease requests are less frequent. */
	private static final long IDLE_SILENT_LINK_TIMEOUT_MILLIS = 500;

	/** Interval at which the selection of entries is reviewed. */
	private static final long SELECTION_INTERVAL_MILLIS = 250;

	/** Time for an entry to learn that its link is being retired. */
	private static final long RETIRE_MILLIS = 300;

	private final LongSupplier monotonicMillis;

	private final Control control = new Control("control");

	private final Links links;

	private final RunSupervisor supervisor;

	private final Map<String, Long> lastReceivedMillis = new HashMap<>();

	private final Consumer<EndpointCheckpoint> memory;

	private final EntrySelection selection;

	private final RejectedInputs rejected;

	/** Start of retirement of each link that is no longer needed. */
	private final Map<String, Long> retiringSinceMillis = new HashMap<>();

	/**
	 * The newest routing table received, kept for entries that have an older one or none.
	 */
	private RoutingTable routing;

	/** Routing versions of the entries that have not granted anything on their link. */
	private final Map<String, Long> routingVersionByLink = new HashMap<>();

	private volatile boolean idle = true;

	/**
	 * Creates an agent.
	 * @param name the name of the agent
	 * @param domain the failure domain
	 * @param monotonicMillis the monotonic clock
	 * @param loops the event loops for network traffic
	 * @param driver creates the client of the endpoint, given this agent
	 * @param memory persists the state that a later incarnation of this agent needs
	 * @param rejected takes the addresses that cannot be dialled
	 */
	public AgentNode(String name, String domain, LongSupplier monotonicMillis, LoopResources loops,
			Function<AgentNode, EndpointDriver> driver, Consumer<EndpointCheckpoint> memory, RejectedInputs rejected) {
		this.memory = memory;
		this.rejected = rejected;
		this.monotonicMillis = monotonicMillis;
		this.links = new Links(this.control.scheduler(), loops, this,
				new LinkLimits(EntryNode.MAX_FRAME_BYTES, Integer.MAX_VALUE));
		this.selection = new EntrySelection(name);
		long incarnation = System.currentTimeMillis();
		this.supervisor = new RunSupervisor(name, incarnation, domain, incarnation, driver.apply(this),
				this.links::send, (line) -> LOG.info("agent: {}", line));
		LOG.info("agent: start name={} incarnation={}", name, incarnation);
	}

	/** Starts periodic work. */
	public void start() {
		this.control.repeat(() -> {
			apply(RunSupervisor::tick);
			return this.idle ? IDLE_TICK_MILLIS : LeaseTimes.TICK_MILLIS;
		});
		this.control.every(SELECTION_INTERVAL_MILLIS, () -> {
			long now = this.monotonicMillis.getAsLong();
			reviewSelection(now);
			this.supervisor.checkpoint(now).ifPresent(this.memory);
		});
	}

	/**
	 * Adds entries that may exist and connects to those that are selected. An address
	 * that cannot be dialled is skipped.
	 * @param addresses the addresses of the entries
	 */
	public void discover(Collection<String> addresses) {
		this.control.run(() -> {
			addresses.forEach(this::addEntry);
			this.selection.selectToDial(this.monotonicMillis.getAsLong()).forEach(this.links::connect);
		});
	}

	private void addEntry(String address) {
		this.rejected.isolate("entry_address", "", address.getBytes(StandardCharsets.UTF_8),
				() -> this.selection.add(LinkAddress.of(address).toString()));
	}

	private void reviewSelection(long now) {
		this.selection.selectToDial(now).forEach(this.links::connect);
		List<String> surplus = this.selection.surplusLinks(now);
		this.retiringSinceMillis.keySet().retainAll(surplus);
		for (String address : surplus) {
			long since = this.retiringSinceMillis.computeIfAbsent(address, (a) -> now);
			this.supervisor.retire(address);
			if (now - since >= RETIRE_MILLIS && this.supervisor.canClose(address)) {
				LOG.info("agent: link={} state=retired", address);
				this.links.disconnect(address);
				this.selection.linkClosed(address);
			}
		}
		this.supervisor.flush(now);
	}

	/**
	 * Updates the supervisor on the control thread.
	 * @param event the update
	 */
	public void update(SupervisorUpdate event) {
		this.control.run(() -> apply(event));
	}

	/**
	 * Reads the clocks before an event.
	 * @return the monotonic time
	 */
	private long observeClocks() {
		long now = this.monotonicMillis.getAsLong();
		this.supervisor.observeTimeOfDay(System.currentTimeMillis(), now);
		return now;
	}

	private void apply(SupervisorUpdate event) {
		long now = observeClocks();
		event.apply(this.supervisor, now);
		closeSilentLinks(now);
		this.supervisor.flush(now);
		this.idle = this.supervisor.idle();
	}

	private void closeSilentLinks(long now) {
		long timeoutMillis = this.idle ? IDLE_SILENT_LINK_TIMEOUT_MILLIS : SILENT_LINK_TIMEOUT_MILLIS;
		this.lastReceivedMillis.forEach((link, receivedMillis) -> {
			if (now - receivedMillis > timeoutMillis) {
				this.lastReceivedMillis.put(link, now);
				LOG.info("agent: link={} state=silent silent_ms={}", link, now - receivedMillis);
				this.links.close(link);
			}
		});
	}

	/** Starts draining: accepts no more runs, since the process is about to exit. */
	public void drain() {
		LOG.info("agent: draining");
		update((s, now) -> s.drain());
	}

	public boolean idle() {
		return this.idle;
	}

	public long now() {
		return this.monotonicMillis.getAsLong();
	}

	@Override
	public void linkUp(String link) {
		long now = this.monotonicMillis.getAsLong();
		this.lastReceivedMillis.put(link, now);
		this.selection.linkUp(link, now);
	}

	@Override
	public void receive(String link, Message message) {
		long now = observeClocks();
		this.lastReceivedMillis.put(link, now);
		if (message instanceof RunStart start) {
			this.supervisor.start(link, start, now);
		}
		else if (message instanceof LeaseGrant grant) {
			this.supervisor.granted(link, grant, now);
			sendNewerRouting(link);
		}
		else if (message instanceof RunStop stop) {
			this.supervisor.stop(link, stop.run(), now);
		}
		else if (message instanceof CancelNotice notice) {
			this.supervisor.cancel(link, notice, now);
		}
		else if (message instanceof CancelReply reply) {
			this.supervisor.cancelConfirmed(link, reply);
		}
		else if (message instanceof JobClaim claim) {
			this.supervisor.claim(link, claim, now);
		}
		else if (message instanceof JobClaimReply reply) {
			this.supervisor.claimAnswered(link, reply);
		}
		else if (message instanceof DrainNotice notice) {
			this.supervisor.adoptDrains(link, notice.drains());
		}
		else if (message instanceof EntryWelcome welcome) {
			this.routingVersionByLink.put(link, welcome.routingVersion());
			this.supervisor.welcomed(link, welcome, now);
		}
		else if (message instanceof RoutingNotice notice) {
			if (this.routing == null || notice.table().version() > this.routing.version()) {
				this.routing = notice.table();
			}
		}
		else {
			LOG.warn("agent: ignored message={} link={}", message.getClass().getSimpleName(), link);
		}
		this.supervisor.flush(now);
		this.idle = this.supervisor.idle();
	}

	/**
	 * Sends the routing table to an entry that had an older one when it welcomed this
	 * agent. Its first grant shows that messages of this agent have arrived, so that the
	 * link takes large frames.
	 * @param link the link of the entry
	 */
	private void sendNewerRouting(String link) {
		Long version = this.routingVersionByLink.remove(link);
		if (version != null && this.routing != null && this.routing.version() > version) {
			this.links.send(link, new RoutingNotice(this.routing));
		}
	}

	@Override
	public void linkDown(String link, boolean refused) {
		this.routingVersionByLink.remove(link);
		this.lastReceivedMillis.remove(link);
		this.selection.linkDown(link);
		this.supervisor.unlinked(link);
	}

	/**
	 * An update of the supervisor.
	 */
	@FunctionalInterface
	public interface SupervisorUpdate {

		/**
		 * Applies the update.
		 * @param supervisor the supervisor
		 * @param nowMillis the current time
		 */
		void apply(RunSupervisor supervisor, long nowMillis);

	}

}
