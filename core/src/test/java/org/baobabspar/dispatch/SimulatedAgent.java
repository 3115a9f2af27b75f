package org.baobabspar.dispatch;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.baobabspar.fleet.JobSubmission;
import org.baobabspar.fleet.RunKey;
import org.baobabspar.message.CancelNotice;
import org.baobabspar.message.CancelReply;
import org.baobabspar.message.DrainNotice;
import org.baobabspar.message.EntryWelcome;
import org.baobabspar.message.JobClaim;
import org.baobabspar.message.JobClaimReply;
import org.baobabspar.message.LeaseGrant;
import org.baobabspar.message.Message;
import org.baobabspar.message.RunStart;
import org.baobabspar.message.RunStop;
import org.baobabspar.supervise.EndpointReport;
import org.baobabspar.supervise.RunSupervisor;

/**
 * A simulated agent: a {@link RunSupervisor} with the ticks, the closing of silent links
 * and the calls of the real process, and its endpoint.
 * <p>
 * Invariant: the supervisor is called only while the process runs, with the time of the
 * clock of the process. Not thread-safe.
 */
final class SimulatedAgent {

	/** A link on which nothing was received for this long is closed. */
	private static final long SILENT_LINK_TIMEOUT_MILLIS = 300;

	private static final long IDLE_SILENT_LINK_TIMEOUT_MILLIS = 500;

	private static final long TICK_MILLIS = 40;

	private static final long IDLE_TICK_MILLIS = 100;

	private static final long REPORT_INTERVAL_MILLIS = 1_500;

	final int number;

	final String domain;

	final SimulatedProcess process;

	final SimulatedEndpoint endpoint;

	final EndpointConnection connection;

	private final Simulation simulation;

	private final GuaranteeChecker checker;

	private final Map<String, SimulatedLink> links = new LinkedHashMap<>();

	/** Time of the last message on each open link. */
	private final Map<SimulatedLink, Long> lastReceivedMillis = new HashMap<>();

	private RunSupervisor supervisor;

	private long lastReportSequence;

	SimulatedAgent(Simulation simulation, GuaranteeChecker checker, List<SimulatedEntry> entries, int number,
			String domain) {
		this.simulation = simulation;
		this.checker = checker;
		this.number = number;
		this.domain = domain;
		this.process = new SimulatedProcess("agent-" + number, simulation);
		this.endpoint = new SimulatedEndpoint(simulation, checker, number,
				SimulatedEndpoint.SLOWEST_CLOCK + 0.02 * simulation.random.nextDouble());
		this.connection = new EndpointConnection(simulation, this, this.endpoint);
		checker.add(this.endpoint);
		for (SimulatedEntry entry : entries) {
			SimulatedLink link = new SimulatedLink(simulation, entry, this);
			entry.links.add(link);
			this.links.put(link.entryNumber(), link);
		}
	}

	void boot() {
		this.process.boot();
		this.lastReceivedMillis.clear();
		long incarnation = this.process.timeOfDayMillis();
		this.supervisor = new RunSupervisor("agent-" + this.number, incarnation, this.domain, incarnation,
				this.connection, (link, message) -> this.links.get(link).sendToEntry(message),
				(line) -> this.simulation.trace("agent-" + this.number, line));
		report();
		this.links.values().forEach(SimulatedLink::dial);
		this.process.repeat(TICK_MILLIS, () -> {
			update(RunSupervisor::tick);
			return this.supervisor.idle() ? IDLE_TICK_MILLIS : TICK_MILLIS;
		});
		this.process.repeat(REPORT_INTERVAL_MILLIS, () -> {
			report();
			return REPORT_INTERVAL_MILLIS;
		});
	}

	/** Delivers a report of the endpoint, if it is up. */
	void report() {
		if (this.endpoint.up()) {
			EndpointReport report = new EndpointReport(this.endpoint.id(), this.endpoint.bornMillis(),
					++this.lastReportSequence, "service", SimulatedEndpoint.CAPACITY, List.of(), false);
			this.process.deliver(() -> update((s, now) -> s.report(report, now)));
		}
	}

	void kill(long downMillis) {
		if (this.process.alive()) {
			this.process.kill();
			this.links.values().forEach(SimulatedLink::agentKilled);
			this.simulation.scheduleAfter(downMillis, this::boot);
		}
	}

	void recordOrder(RunKey run) {
		this.checker.recordOrder(this.domain, run);
	}

	JobSubmission order(String jobId) {
		return this.checker.caller(jobId).order;
	}

	List<SimulatedLink> links() {
		return List.copyOf(this.links.values());
	}

	void update(SupervisorUpdate event) {
		long nowMillis = observeClocks();
		event.apply(this.supervisor, nowMillis);
		closeSilentLinks(nowMillis);
		this.supervisor.flush(nowMillis);
	}

	private long observeClocks() {
		long nowMillis = this.process.now();
		this.supervisor.observeTimeOfDay(this.process.timeOfDayMillis(), nowMillis);
		return nowMillis;
	}

	private void closeSilentLinks(long nowMillis) {
		long timeoutMillis = this.supervisor.idle() ? IDLE_SILENT_LINK_TIMEOUT_MILLIS : SILENT_LINK_TIMEOUT_MILLIS;
		for (SimulatedLink link : links()) {
			Long receivedMillis = this.lastReceivedMillis.get(link);
			if (receivedMillis != null && nowMillis - receivedMillis > timeoutMillis) {
				linkDown(link);
				link.closeByAgent();
			}
		}
	}

	void linkUp(SimulatedLink link) {
		this.lastReceivedMillis.put(link, this.process.now());
	}

	void linkDown(SimulatedLink link) {
		this.lastReceivedMillis.remove(link);
		this.supervisor.unlinked(link.entryNumber());
	}

	void receive(SimulatedLink link, Message message) {
		long nowMillis = observeClocks();
		this.lastReceivedMillis.put(link, nowMillis);
		if (message instanceof RunStart start) {
			this.supervisor.start(link.entryNumber(), start, nowMillis);
		}
		else if (message instanceof LeaseGrant grant) {
			this.supervisor.granted(link.entryNumber(), grant, nowMillis);
		}
		else if (message instanceof RunStop stop) {
			this.supervisor.stop(link.entryNumber(), stop.run(), nowMillis);
		}
		else if (message instanceof DrainNotice notice) {
			this.supervisor.adoptDrains(link.entryNumber(), notice.drains());
		}
		else if (message instanceof CancelNotice notice) {
			this.supervisor.cancel(link.entryNumber(), notice, nowMillis);
		}
		else if (message instanceof CancelReply reply) {
			this.supervisor.cancelConfirmed(link.entryNumber(), reply);
		}
		else if (message instanceof JobClaim claim) {
			this.supervisor.claim(link.entryNumber(), claim, nowMillis);
		}
		else if (message instanceof JobClaimReply reply) {
			this.supervisor.claimAnswered(link.entryNumber(), reply);
		}
		else if (message instanceof EntryWelcome welcome) {
			this.supervisor.welcomed(link.entryNumber(), welcome, nowMillis);
		}
		this.supervisor.flush(nowMillis);
	}

	/**
	 * An update of the supervisor.
	 */
	@FunctionalInterface
	interface SupervisorUpdate {

		/**
		 * Applies the update.
		 * @param supervisor the supervisor
		 * @param nowMillis the current time
		 */
		void apply(RunSupervisor supervisor, long nowMillis);

	}

}
