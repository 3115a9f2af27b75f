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
 * The process beside an endpoint. Wires the gate to links and to the endpoint.
 * <p>
 * Invariant: the core is touched on the control thread only.
 */
public final class AgentDaemon implements AutoCloseable {

	/** Settings of an agent. */
	public static final List<Setting> SETTINGS = List.of(Setting.text("id", null, "name of this agent"),
			Setting.text("failure-domain", "default", "failure domain of this VM"),
			Setting.text("host", "127.0.0.1", "IP address for metrics and health"),
			Setting.number("http-port", 0, 0, 65535, "port", "port for metrics and health, 0 for any"),
			Setting.text("entries", null, "addresses of entries to start from, host:port, separated by commas"),
			Setting.text("endpoint", null, "address of the endpoint, host:port"),
			Setting.number("slots", 8, 1, 1024, "tasks", "tasks that the endpoint runs at once"),
			Setting.number("prefetch", 3, 0, 64, "tasks", "tasks held beyond the slots"),
			Setting.number("megabytes", 65_536, 1, 1 << 24, "MB", "memory of the endpoint"),
			Setting.number("window-millis", 300_000, 20_000, 3_600_000, "ms", "resubmission window"),
			Setting.number("task-timeout-millis", 60_000, 100, 3_600_000, "ms", "longest run time of a task"),
			Setting.number("health-millis", 1_000, 50, 60_000, "ms", "interval of health checks"),
			Setting.number("drain-millis", 30_000, 0, 3_600_000, "ms", "longest time to finish work at shutdown"),
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

	private final Set<String> dialled = ConcurrentHashMap.newKeySet();

	private boolean checking;

	private DisposableServer http;

	/**
	 * Create an agent.
	 * @param s its settings
	 */
	public AgentDaemon(Settings s) {
		this.settings = s;
		this.links = new Links(this.control.scheduler(), this.loops, new Handler());
		this.info = new AgentInfo(s.text("id"), Incarnation.draw(), s.text("failure-domain"), s.integer("slots"),
				s.number("megabytes"));
		AgentSettings d = AgentSettings.defaults(s.integer("slots"));
		AgentSettings a = new AgentSettings(s.integer("slots"), s.integer("prefetch"), s.number("window-millis"),
				d.leaseMillis(), d.heartbeatMillis(), d.entrySilentMillis(), d.maxStarts(), d.maxResultBytes());
		this.core = new AgentCore(this.info, a, new Outbox());
		this.endpoint = new EndpointClient(s.text("endpoint"), s.number("task-timeout-millis"), this.loops);
		this.metrics = new EntryMetrics(this.links.meter());
	}

	/** Start to serve. */
	public void start() {
		this.http = Http.serve(this.settings.text("host"), this.settings.integer("http-port"), this.loops,
				this::routes);
		this.control.run(() -> this.core.tick(this.control.now(), System.currentTimeMillis()));
		this.control.run(() -> this.settings.list("entries").forEach(this::dial));
		this.control.every(TICK_MILLIS, this::tick);
		this.control.every(this.settings.number("health-millis"), this::check);
		LOG.info("agent: {} serves endpoint {} and shows metrics on port {}.", this.info.ref(),
				this.settings.text("endpoint"), this.http.port());
	}

	private void routes(HttpServerRoutes r) {
		r.get("/metrics", (q, s) -> Http.text(s, 200, this.metrics.scrape()))
			.get("/health/live", (q, s) -> Http.json(s, 200, Map.of("live", true)))
			.get("/health/ready", (q, s) -> this.control.call(() -> this.core.state().takesWork())
				.flatMap((v) -> Mono.from(Http.json(s, v ? 200 : 503, Map.of("ready", v)))));
	}

	private void dial(String address) {
		if (this.dialled.add(address)) {
			this.links.connect(address);
		}
	}

	private void tick() {
		this.core.tick(this.control.now(), System.currentTimeMillis());
		this.core.entryAddresses().forEach(this::dial);
		this.metrics.state(this.core.waitingTasks(), this.core.runningTasks());
	}

	private void check() {
		if (this.checking) {
			return;
		}
		this.checking = true;
		this.endpoint.healthy().publishOn(this.control.scheduler()).subscribe((ok) -> {
			this.checking = false;
			this.core.updateHealth(this.control.now(), ok);
		});
	}

	public FrameMeter frames() {
		return this.links.meter();
	}

	public int httpPort() {
		return this.http.port();
	}

	/** Wait for a signal, drain and close. */
	public void await() {
		new Shutdown("agent", this.settings.number("drain-millis"),
				() -> this.control.run(() -> this.core.drain(this.control.now())), this::drained,
				() -> this.core.runningTasks() + " running tasks")
			.await();
		close();
	}

	private boolean drained() {
		return Boolean.TRUE.equals(this.control.call(() -> this.core.canExit(this.control.now())).block());
	}

	@Override
	public void close() {
		this.http.disposeNow();
		this.links.close();
		this.control.close();
		this.loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).onErrorResume((ex) -> Mono.empty()).block();
	}

	/** Takes the events of links. */
	private final class Handler implements LinkHandler {

		@Override
		public void linkUp(String link) {
			AgentDaemon.this.core.linkUp(AgentDaemon.this.control.now(), link);
		}

		@Override
		public void receive(String link, Message m) {
			AgentDaemon.this.core.receive(AgentDaemon.this.control.now(), link, m);
		}

		@Override
		public void linkDown(String link, boolean refused) {
			AgentDaemon.this.core.linkDown(AgentDaemon.this.control.now(), link);
		}

	}

	/** Carries the core's effects out. */
	private final class Outbox implements AgentOutbox {

		@Override
		public void send(String link, Message m) {
			AgentDaemon.this.links.send(link, m);
		}

		@Override
		public void start(LedgerTask task, byte[] payload) {
			AgentDaemon a = AgentDaemon.this;
			LOG.debug("task: {} {} started.", task.jobId(), task.index());
			a.endpoint.run(task, payload).publishOn(a.control.scheduler()).subscribe((r) -> {
				if (r.reached()) {
					a.core.taskEnded(a.control.now(), task.jobId(), task.index(), r.code(), r.body());
				}
				else {
					a.core.taskNotSent(a.control.now(), task.jobId(), task.index());
				}
			});
		}

	}

}
