package org.baobabspar.node;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.baobabspar.daemon.Control;
import org.baobabspar.fleet.RoutingTable;
import org.baobabspar.message.EntryWelcome;
import org.baobabspar.message.LeaseGrant;
import org.baobabspar.message.Message;
import org.baobabspar.message.RoutingNotice;
import org.baobabspar.message.RunStart;
import org.baobabspar.message.RunStop;
import org.baobabspar.supervise.EndpointCheckpoint;
import org.baobabspar.supervise.EndpointDriver;
import org.baobabspar.supervise.EntrySelection;
import org.baobabspar.supervise.RunSupervisor;
import org.baobabspar.wire.LinkHandler;
import org.baobabspar.wire.Links;
import reactor.netty.resources.LoopResources;

/**
 * An agent: links to all entries and a supervisor of the endpoint beside it. A link that
 * brings no grants is opened anew, since a connection may go silent without an end.
 * <p>
 * Invariant: all calls of the supervisor are made on the control thread. Methods may be
 * called from any thread.
 */
public final class AgentNode implements LinkHandler {

	private static final Logger LOG = LogManager.getLogger(AgentNode.class);

	private static final long TICK_MILLIS = 40;

	/** Nothing is due sooner than the next request for a lease while nothing runs. */
	private static final long IDLE_TICK_MILLIS = 100;

	/** Three requests without a grant; the entry's lease lasts little longer. */
	private static final long SILENT_LINK_MILLIS = 300;

	/** The same while nothing runs, and requests are further apart. */
	private static final long IDLE_SILENT_LINK_MILLIS = 500;

	/** How often the choice of entries is looked at. */
	private static final long SELECT_MILLIS = 250;

	/** Time for an entry to learn that its link is no longer wanted. */
	private static final long RETIRE_MILLIS = 300;

	private final Control control = new Control("control");

	private final SuspendAwareClock clock;

	private final Links links;

	private final RunSupervisor supervisor;

	private final Map<String, Long> heardMillis = new HashMap<>();

	private final Consumer<EndpointCheckpoint> memory;

	private final EntrySelection selection;

	/** When links that are no longer wanted began to be retired. */
	private final Map<String, Long> retiredMillis = new HashMap<>();

	/** The newest table that entries have passed on, for those that have none. */
	private RoutingTable routing;

	private volatile boolean idle = true;

	/**
	 * Create an agent.
	 * @param name its name
	 * @param domain its failure domain
	 * @param clock its clock
	 * @param loops event loops for traffic
	 * @param driver creates the client of the endpoint, given this agent
	 * @param memory stores what a later lifetime of this agent has to know
	 */
	public AgentNode(String name, String domain, SuspendAwareClock clock, LoopResources loops,
			Function<AgentNode, EndpointDriver> driver, Consumer<EndpointCheckpoint> memory) {
		this.memory = memory;
		this.clock = clock;
		this.links = new Links(this.control.scheduler(), loops, this);
		this.selection = new EntrySelection(name);
		long incarnation = System.currentTimeMillis();
		this.supervisor = new RunSupervisor(name, incarnation, domain, incarnation, driver.apply(this),
				this.links::send, (line) -> LOG.info("agent: {}", line));
		LOG.info("agent: start name={} incarnation={}", name, incarnation);
	}

	/** Start working. */
	public void start() {
		this.control.repeat(() -> {
			apply(RunSupervisor::tick);
			return this.idle ? IDLE_TICK_MILLIS : TICK_MILLIS;
		});
		this.control.every(SELECT_MILLIS, () -> {
			long now = this.clock.now();
			select(now);
			this.supervisor.checkpoint(now).ifPresent(this.memory);
		});
	}

	/**
	 * Take it that these entries may be there.
	 * @param addresses their addresses
	 */
	public void discover(Collection<String> addresses) {
		this.control.run(() -> {
			addresses.forEach(this.selection::add);
			this.selection.selectToDial(this.clock.now()).forEach(this.links::connect);
		});
	}

	private void select(long now) {
		this.selection.selectToDial(now).forEach(this.links::connect);
		List<String> surplus = this.selection.surplusLinks(now);
		this.retiredMillis.keySet().retainAll(surplus);
		for (String address : surplus) {
			long since = this.retiredMillis.computeIfAbsent(address, (a) -> now);
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
	 * Let the supervisor take something in, on the control thread.
	 * @param event given the supervisor and the time
	 */
	public void update(Update event) {
		this.control.run(() -> apply(event));
	}

	private void apply(Update event) {
		long now = this.clock.now();
		event.apply(this.supervisor, now);
		closeSilent(now);
		this.supervisor.flush(now);
		this.idle = this.supervisor.idle();
	}

	private void closeSilent(long now) {
		long bound = this.idle ? IDLE_SILENT_LINK_MILLIS : SILENT_LINK_MILLIS;
		this.heardMillis.forEach((link, heard) -> {
			if (now - heard > bound) {
				this.heardMillis.put(link, now);
				LOG.info("agent: link={} state=silent silent_ms={}", link, now - heard);
				this.links.close(link);
			}
		});
	}

	/** Take no more runs, since the process is about to end. */
	public void drain() {
		LOG.info("agent: draining");
		update((s, now) -> s.drain());
	}

	public boolean idle() {
		return this.idle;
	}

	public long now() {
		return this.clock.now();
	}

	@Override
	public void linkUp(String link) {
		long now = this.clock.now();
		this.heardMillis.put(link, now);
		this.selection.linkUp(link, now);
	}

	@Override
	public void receive(String link, Message m) {
		long now = this.clock.now();
		this.heardMillis.put(link, now);
		if (m instanceof RunStart r) {
			this.supervisor.start(link, r, now);
		}
		else if (m instanceof LeaseGrant g) {
			this.supervisor.granted(link, g);
		}
		else if (m instanceof RunStop r) {
			this.supervisor.stop(link, r.run(), now);
		}
		else if (m instanceof EntryWelcome w) {
			if (this.routing != null && this.routing.version() > w.routingVersion()) {
				this.links.send(link, new RoutingNotice(this.routing));
			}
			this.supervisor.welcomed(link, w, now);
		}
		else if (m instanceof RoutingNotice r) {
			if (this.routing == null || r.table().version() > this.routing.version()) {
				this.routing = r.table();
			}
		}
		else {
			LOG.warn("agent: ignored message={} link={}", m.getClass().getSimpleName(), link);
		}
		this.supervisor.flush(now);
		this.idle = this.supervisor.idle();
	}

	@Override
	public void linkDown(String link, boolean refused) {
		this.heardMillis.remove(link);
		this.selection.linkDown(link);
		this.supervisor.unlinked(link);
	}

	/**
	 * Something that the supervisor takes in.
	 */
	@FunctionalInterface
	public interface Update {

		/**
		 * Take it in.
		 * @param s the supervisor
		 * @param nowMillis the time
		 */
		void apply(RunSupervisor s, long nowMillis);

	}

}
