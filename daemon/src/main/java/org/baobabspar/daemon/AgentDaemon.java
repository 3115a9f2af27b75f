package org.baobabspar.daemon;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.baobabspar.agent.AgentCore;
import org.baobabspar.agent.AgentOutbox;
import org.baobabspar.agent.AgentSettings;
import org.baobabspar.agent.LedgerTask;
import org.baobabspar.message.AgentInfo;
import org.baobabspar.message.Message;
import org.baobabspar.wire.FrameMeter;
import org.baobabspar.wire.LinkHandler;
import org.baobabspar.wire.Links;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRoutes;
import reactor.netty.resources.LoopResources;

/**
 * The agent process, which runs beside an endpoint. Connects the agent's core to links
 * and to the endpoint.
 * <p>
 * Invariant: the core is accessed on the control thread only.
 */
public final class AgentDaemon implements AutoCloseable {

	/** Settings of an agent. */
	public static final List<Setting> SETTINGS = List.of(Setting.text("id", null, "id of this agent"),
			Setting.text("failure-domain", "default", "failure domain of this VM"),
			Setting.text("host", "127.0.0.1", "IP address for metrics and health"),
			Setting.number("http-port", 0, 0, 65535, "port", "port for metrics and health, 0 for any"),
			Setting.text("entries", null, "comma-separated addresses of the entries to connect to first, host:port"),
			Setting.text("endpoint", null, "address of the endpoint, host:port"),
			Setting.number("slots", 8, 1, 1024, "tasks", "tasks that the endpoint runs concurrently"),
			Setting.number("prefetch", 3, 0, 64, "tasks", "tasks queued at the agent beyond the slots"),
			Setting.number("megabytes", 65_536, 1, 1 << 24, "MB", "memory of the endpoint"),
			Setting.number("window-millis", 300_000, 20_000, 3_600_000, "ms", "resubmission window"),
			Setting.number("task-timeout-millis", 60_000, 100, 3_600_000, "ms", "longest run time of a task"),
			Setting.number("health-millis", 1_000, 50, 60_000, "ms", "interval of health checks"),
			Setting.number("drain-millis", 30_000, 0, 3_600_000, "ms", "longest time to drain at shutdown"),
			Setting.toggle("json-logs", "write logs as JSON"));

	private static final Logger LOG = LogManager.getLogger(AgentDaemon.class);

	private static final long TICK_MILLIS = 100;

	private final Control control = new Control("agent-control");

	private final Settings settings;

	private final LoopResources loops = LoopResources.create("agent", 1, 1, true, true);

	private final Links links;

	private final AgentInfo info;

	private final AgentCore core;

	private final EndpointClient endpoint;

	private final EntryMetrics metrics;

	private final Set<String> dialledAddresses = ConcurrentHashMap.newKeySet();

	private boolean healthCheckInFlight;

	private DisposableServer http;

	/**
	 * Creates an agent.
	 * @param settings its settings
	 */
	public AgentDaemon(Settings settings) {
		this.settings = settings;
		this.links = new Links(this.control.scheduler(), this.loops, new Handler());
		this.info = new AgentInfo(settings.text("id"), Incarnation.randomId(), settings.text("failure-domain"),
				settings.integer("slots"), settings.number("megabytes"));
		AgentSettings defaults = AgentSettings.defaults(settings.integer("slots"));
		AgentSettings agentSettings = new AgentSettings(settings.integer("slots"), settings.integer("prefetch"),
				settings.number("window-millis"), defaults.leaseMillis(), defaults.heartbeatMillis(),
				defaults.entrySilentMillis(), defaults.maxStarts(), defaults.maxResultBytes());
		this.core = new AgentCore(this.info, agentSettings, new Outbox());
		this.endpoint = new EndpointClient(settings.text("endpoint"), settings.number("task-timeout-millis"),
				this.loops);
		this.metrics = new EntryMetrics(this.links.meter());
	}

	/** Starts to connect to entries and to serve metrics and health. */
	public void start() {
		this.http = Http.serve(this.settings.text("host"), this.settings.integer("http-port"), this.loops,
				ClientConnections.ofProcess(), this::routes);
		this.control.run(() -> this.core.tick(this.control.now(), System.currentTimeMillis()));
		this.control.run(() -> this.settings.list("entries").forEach(this::dial));
		this.control.every(TICK_MILLIS, this::tick);
		this.control.every(this.settings.number("health-millis"), this::checkHealth);
		LOG.info("agent: {} serves endpoint {} and exposes metrics on port {}.", this.info.ref(),
				this.settings.text("endpoint"), this.http.port());
	}

	private void routes(HttpServerRoutes routes) {
		routes.get("/metrics", (request, response) -> Http.text(response, 200, this.metrics.scrape()))
			.get("/health/live", (request, response) -> Http.json(response, 200, Map.of("live", true)))
			.get("/health/ready",
					(request, response) -> this.control.call(() -> this.core.state().takesWork())
						.flatMap((takesWork) -> Mono
							.from(Http.json(response, takesWork ? 200 : 503, Map.of("ready", takesWork)))));
	}

	private void dial(String address) {
		if (this.dialledAddresses.add(address)) {
			this.links.connect(address);
		}
	}

	private void tick() {
		this.core.tick(this.control.now(), System.currentTimeMillis());
		this.core.entryAddresses().forEach(this::dial);
		this.metrics.state(this.core.waitingTasks(), this.core.runningTasks());
	}

	private void checkHealth() {
		if (this.healthCheckInFlight) {
			return;
		}
		this.healthCheckInFlight = true;
		this.endpoint.healthy().publishOn(this.control.scheduler()).subscribe((healthy) -> {
			this.healthCheckInFlight = false;
			this.core.updateHealth(this.control.now(), healthy);
		});
	}

	public FrameMeter frames() {
		return this.links.meter();
	}

	public int httpPort() {
		return this.http.port();
	}

	/** Waits for a signal, drains the agent and closes it. */
	public void await() {
		new Shutdown("agent", this.settings.number("drain-millis"),
				() -> this.control.run(() -> this.core.drain(this.control.now())), this::isDrained,
				() -> this.core.runningTasks() + " running tasks")
			.await();
		close();
	}

	private boolean isDrained() {
		return Boolean.TRUE.equals(this.control.call(() -> this.core.canExit(this.control.now())).block());
	}

	@Override
	public void close() {
		this.http.disposeNow();
		this.links.close();
		this.control.close();
		this.loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).onErrorResume((ex) -> Mono.empty()).block();
	}

	/** Forwards link events to the core. */
	private final class Handler implements LinkHandler {

		@Override
		public void linkUp(String link) {
			AgentDaemon.this.core.linkUp(AgentDaemon.this.control.now(), link);
		}

		@Override
		public void receive(String link, Message message) {
			AgentDaemon.this.core.receive(AgentDaemon.this.control.now(), link, message);
		}

		@Override
		public void linkDown(String link, boolean refused) {
			AgentDaemon.this.core.linkDown(AgentDaemon.this.control.now(), link);
		}

	}

	/** Executes the effects that the core requests. */
	private final class Outbox implements AgentOutbox {

		@Override
		public void send(String link, Message message) {
			AgentDaemon.this.links.send(link, message);
		}

		@Override
		public void start(LedgerTask task, byte[] payload) {
			AgentDaemon agent = AgentDaemon.this;
			LOG.debug("task: {} {} started.", task.jobId(), task.index());
			agent.endpoint.run(task, payload).publishOn(agent.control.scheduler()).subscribe((result) -> {
				if (result.reached()) {
					agent.core.taskEnded(agent.control.now(), task.jobId(), task.index(), result.code(), result.body());
				}
				else {
					agent.core.taskNotSent(agent.control.now(), task.jobId(), task.index());
				}
			});
		}

	}

}
