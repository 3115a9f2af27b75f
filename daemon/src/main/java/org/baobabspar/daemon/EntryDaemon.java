package org.baobabspar.daemon;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.baobabspar.entry.EntryCore;
import org.baobabspar.entry.EntryOutbox;
import org.baobabspar.entry.EntrySettings;
import org.baobabspar.entry.JobSummary;
import org.baobabspar.entry.PlacementPolicy;
import org.baobabspar.message.EntryInfo;
import org.baobabspar.message.Message;
import org.baobabspar.model.CodeFamily;
import org.baobabspar.model.JobAnswer;
import org.baobabspar.wire.FrameMeter;
import org.baobabspar.wire.LinkHandler;
import org.baobabspar.wire.Links;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;

/**
 * The entry process. Connects the entry's core to links, HTTP and the platform log.
 * <p>
 * Invariant: the core is accessed on the control thread only.
 */
public final class EntryDaemon implements AutoCloseable {

	/** Settings of an entry. */
	public static final List<Setting> SETTINGS = List.of(Setting.text("id", null, "id of this entry"),
			Setting.text("failure-domain", "default", "failure domain of this VM"),
			Setting.text("host", "127.0.0.1", "IP address to listen on and to advertise to other processes"),
			Setting.number("http-port", 8080, 0, 65535, "port", "port for callers, metrics and health"),
			Setting.number("link-port", 7070, 0, 65535, "port", "port for agents and other entries"),
			Setting.text("peers", "", "comma-separated addresses of other entries, host:port"),
			Setting.text("log", "127.0.0.1:7000", "address of the platform log, host:port"),
			Setting.text("environment", "production", "environment whose documents apply"),
			Setting.number("window-millis", 300_000, 20_000, 3_600_000, "ms", "resubmission window"),
			Setting.number("quarantine-millis", 1_000, 0, 60_000, "ms",
					"time without submissions after a start or a pause of the process"),
			Setting.number("usage-millis", 5_000, 100, 600_000, "ms", "interval of usage reports to the log"),
			Setting.number("drain-millis", 30_000, 0, 3_600_000, "ms", "longest time to drain at shutdown"),
			Setting.number("threads", 2, 1, 64, "threads", "event loop threads for network traffic"),
			Setting.text("policy", "expected-finish",
					"policy that chooses agents; the others are baselines for benchmarks"),
			Setting.toggle("json-logs", "write logs as JSON"));

	private static final Logger LOG = LogManager.getLogger(EntryDaemon.class);

	private static final long TICK_MILLIS = 50;

	private final Control control = new Control("entry-control");

	private final Settings settings;

	private final LoopResources loops;

	private final Links links;

	private final EntryInfo self;

	private final EntryCore core;

	private final EntryMetrics metrics;

	private final CallerApi api;

	private final EnvironmentWatcher watcher;

	private final UsageWriter usage;

	private final AtomicReference<String> remainingWork = new AtomicReference<>("nothing");

	private DisposableServer http;

	/**
	 * Creates an entry and binds its link port.
	 * @param settings its settings
	 */
	public EntryDaemon(Settings settings) {
		this.settings = settings;
		this.loops = LoopResources.create("entry", 1, settings.integer("threads"), true, true);
		this.links = new Links(this.control.scheduler(), this.loops, new Handler());
		int port = Http.bind(settings.integer("link-port"),
				() -> this.links.listen(settings.text("host"), settings.integer("link-port")));
		this.self = new EntryInfo(settings.text("id"), Incarnation.randomId(), settings.text("failure-domain"),
				settings.text("host"), port);
		this.metrics = new EntryMetrics(this.links.meter());
		this.core = new EntryCore(this.control.now(), this.self, entrySettings(settings), new Outbox(),
				Incarnation.randomSeed());
		this.api = new CallerApi(this.control, this.core, this.metrics);
		LogClient log = new LogClient(settings.text("log"), this.loops);
		this.watcher = new EnvironmentWatcher(log, this.control, settings.text("environment"),
				(version) -> this.core.promoted(this.control.now(), version),
				(version) -> this.core.published(this.control.now(), version));
		this.usage = new UsageWriter(log, this.control, this.core.usage(), this.self.ref());
	}

	private static EntrySettings entrySettings(Settings settings) {
		EntrySettings defaults = EntrySettings.defaults();
		PlacementPolicy policy = PlacementPolicy
			.valueOf(settings.text("policy").replace('-', '_').toUpperCase(Locale.ROOT));
		return new EntrySettings(settings.number("window-millis"), defaults.leaseMillis(), defaults.heartbeatMillis(),
				defaults.suspectAfterMillis(), defaults.lostAfterMillis(), defaults.peerReplyTimeoutMillis(),
				defaults.fenceTimeoutMillis(), defaults.pauseThresholdMillis(), settings.number("quarantine-millis"),
				defaults.ageMarginMillis(), defaults.maxJobs(), defaults.maxResubmissionsPerSecond(), policy);
	}

	/** Starts to serve callers and agents. */
	public void start() {
		this.control.run(() -> this.settings.list("peers")
			.forEach((address) -> this.core.learnPeer(this.control.now(), address)));
		this.control.every(TICK_MILLIS, this::tick);
		this.control.every(this.settings.number("usage-millis"), this.usage::flush);
		this.watcher.start();
		this.http = Http.serve(this.settings.text("host"), this.settings.integer("http-port"), this.loops,
				ClientConnections.ofProcess(), this.api::routes);
		LOG.info("entry: {} serves callers on port {} and agents on port {}.", this.self.ref(), this.http.port(),
				this.self.port());
	}

	private void tick() {
		this.core.tick(this.control.now());
		this.metrics.state(this.core.waitingTasks(), this.core.liveJobs());
		this.remainingWork.set(this.core.liveJobs() + " jobs");
	}

	public FrameMeter frames() {
		return this.links.meter();
	}

	public int httpPort() {
		return this.http.port();
	}

	public int linkPort() {
		return this.self.port();
	}

	/** Waits for a signal, drains the entry and closes it. */
	public void await() {
		new Shutdown("entry", this.settings.number("drain-millis"),
				() -> this.control.run(() -> this.core.drain(this.control.now())), this::isDrained,
				this.remainingWork::get)
			.await();
		close();
	}

	private boolean isDrained() {
		return Boolean.TRUE.equals(this.control.call(this::flushIfDrained).block());
	}

	private boolean flushIfDrained() {
		if (!this.core.drained(this.control.now())) {
			return false;
		}
		this.usage.flush();
		return this.usage.idle();
	}

	@Override
	public void close() {
		this.watcher.stop();
		if (this.http != null) {
			this.http.disposeNow();
		}
		this.links.close();
		this.control.close();
		this.loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).onErrorResume((ex) -> Mono.empty()).block();
	}

	/** Forwards link events to the core. */
	private final class Handler implements LinkHandler {

		@Override
		public void linkUp(String link) {
			if (link.indexOf(':') >= 0) {
				EntryDaemon.this.core.peerUp(EntryDaemon.this.control.now(), link);
			}
		}

		@Override
		public void receive(String link, Message message) {
			EntryDaemon.this.core.message(EntryDaemon.this.control.now(), link, message);
		}

		@Override
		public void linkDown(String link, boolean refused) {
			long now = EntryDaemon.this.control.now();
			if (link.indexOf(':') >= 0) {
				EntryDaemon.this.core.peerDown(now, link, refused);
			}
			else {
				EntryDaemon.this.core.linkDown(now, link);
			}
		}

	}

	/** Executes the effects that the core requests. */
	private final class Outbox implements EntryOutbox {

		@Override
		public void send(String link, Message message) {
			EntryDaemon.this.links.send(link, message);
		}

		@Override
		public void dial(String address) {
			EntryDaemon.this.links.connect(address);
		}

		@Override
		public void hangUp(String address) {
			EntryDaemon.this.links.disconnect(address);
		}

		@Override
		public void answer(long requestId, JobAnswer answer) {
			EntryDaemon.this.api.answer(requestId, answer);
		}

		@Override
		public void jobEnded(JobSummary summary) {
			EntryDaemon.this.metrics.ended(summary);
			if (summary.code().family() == CodeFamily.COMPLETE) {
				LOG.debug("job: {} of {} tasks ended with {} after {} ms.", summary.jobId(), summary.tasks(),
						summary.code(), summary.responseMillis());
			}
			else {
				LOG.info("job: {} of {} tasks ended with {} after {} ms.", summary.jobId(), summary.tasks(),
						summary.code(), summary.responseMillis());
			}
		}

	}

}
