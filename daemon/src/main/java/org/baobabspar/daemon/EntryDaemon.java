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
 * The process on an entry VM. Wires the decisions to links, HTTP and the log.
 * <p>
 * Invariant: the core is touched on the control thread only.
 */
public final class EntryDaemon implements AutoCloseable {

	/** Settings of an entry. */
	public static final List<Setting> SETTINGS = List.of(Setting.text("id", null, "name of this entry"),
			Setting.text("failure-domain", "default", "failure domain of this VM"),
			Setting.text("host", "127.0.0.1", "IP address to listen on and to be reached by"),
			Setting.number("http-port", 8080, 0, 65535, "port", "port for callers, metrics and health"),
			Setting.number("link-port", 7070, 0, 65535, "port", "port for agents and other entries"),
			Setting.text("peers", "", "addresses of other entries, host:port, separated by commas"),
			Setting.text("log", "127.0.0.1:7000", "address of the platform log, host:port"),
			Setting.text("environment", "production", "environment whose documents are followed"),
			Setting.number("window-millis", 300_000, 20_000, 3_600_000, "ms", "resubmission window"),
			Setting.number("quarantine-millis", 1_000, 0, 60_000, "ms",
					"time after a start or pause without submissions"),
			Setting.number("usage-millis", 5_000, 100, 600_000, "ms", "interval of reports of use to the log"),
			Setting.number("drain-millis", 30_000, 0, 3_600_000, "ms", "longest time to finish work at shutdown"),
			Setting.number("threads", 2, 1, 64, "threads", "event loops for traffic"),
			Setting.text("policy", "expected-finish", "how agents are chosen; the others are baselines to measure"),
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

	private final AtomicReference<String> remaining = new AtomicReference<>("nothing");

	private DisposableServer http;

	/**
	 * Create an entry and bind its ports.
	 * @param s its settings
	 */
	public EntryDaemon(Settings s) {
		this.settings = s;
		this.loops = LoopResources.create("entry", 1, s.integer("threads"), true, true);
		this.links = new Links(this.control.scheduler(), this.loops, new Handler());
		int port = Http.bind(s.integer("link-port"), () -> this.links.listen(s.text("host"), s.integer("link-port")));
		this.self = new EntryInfo(s.text("id"), Incarnation.draw(), s.text("failure-domain"), s.text("host"), port);
		this.metrics = new EntryMetrics(this.links.meter());
		this.core = new EntryCore(this.control.now(), this.self, entrySettings(s), new Outbox(), Incarnation.seed());
		this.api = new CallerApi(this.control, this.core, this.metrics);
		LogClient log = new LogClient(s.text("log"), this.loops);
		this.watcher = new EnvironmentWatcher(log, this.control, s.text("environment"),
				(v) -> this.core.promoted(this.control.now(), v), (v) -> this.core.published(this.control.now(), v));
		this.usage = new UsageWriter(log, this.control, this.core.usage(), this.self.ref());
	}

	private static EntrySettings entrySettings(Settings s) {
		EntrySettings d = EntrySettings.defaults();
		PlacementPolicy p = PlacementPolicy.valueOf(s.text("policy").replace('-', '_').toUpperCase(Locale.ROOT));
		return new EntrySettings(s.number("window-millis"), d.leaseMillis(), d.heartbeatMillis(),
				d.suspectAfterMillis(), d.lostAfterMillis(), d.peerReplyTimeoutMillis(), d.fenceTimeoutMillis(),
				d.pauseThresholdMillis(), s.number("quarantine-millis"), d.ageMarginMillis(), d.maxJobs(),
				d.maxResubmissionsPerSecond(), p);
	}

	/** Start to serve. */
	public void start() {
		this.control.run(() -> this.settings.list("peers").forEach((p) -> this.core.learnPeer(this.control.now(), p)));
		this.control.every(TICK_MILLIS, this::tick);
		this.control.every(this.settings.number("usage-millis"), this.usage::flush);
		this.watcher.start();
		this.http = Http.serve(this.settings.text("host"), this.settings.integer("http-port"), this.loops,
				this.api::routes);
		LOG.info("entry: {} serves callers on port {} and agents on port {}.", this.self.ref(), this.http.port(),
				this.self.port());
	}

	private void tick() {
		this.core.tick(this.control.now());
		this.metrics.state(this.core.waitingTasks(), this.core.liveJobs());
		this.remaining.set(this.core.liveJobs() + " jobs");
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

	/** Wait for a signal, drain and close. */
	public void await() {
		new Shutdown("entry", this.settings.number("drain-millis"),
				() -> this.control.run(() -> this.core.drain(this.control.now())), this::drained, this.remaining::get)
			.await();
		close();
	}

	private boolean drained() {
		return Boolean.TRUE.equals(this.control.call(this::drainedNow).block());
	}

	private boolean drainedNow() {
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

	/** Takes the events of links. */
	private final class Handler implements LinkHandler {

		@Override
		public void linkUp(String link) {
			if (link.indexOf(':') >= 0) {
				EntryDaemon.this.core.peerUp(EntryDaemon.this.control.now(), link);
			}
		}

		@Override
		public void receive(String link, Message m) {
			EntryDaemon.this.core.message(EntryDaemon.this.control.now(), link, m);
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

	/** Carries the core's effects out. */
	private final class Outbox implements EntryOutbox {

		@Override
		public void send(String link, Message m) {
			EntryDaemon.this.links.send(link, m);
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
		public void answer(long requestId, JobAnswer a) {
			EntryDaemon.this.api.answer(requestId, a);
		}

		@Override
		public void jobEnded(JobSummary e) {
			EntryDaemon.this.metrics.ended(e);
			if (e.code().family() == CodeFamily.COMPLETE) {
				LOG.debug("job: {} of {} tasks ended with {} after {} ms.", e.jobId(), e.tasks(), e.code(),
						e.responseMillis());
			}
			else {
				LOG.info("job: {} of {} tasks ended with {} after {} ms.", e.jobId(), e.tasks(), e.code(),
						e.responseMillis());
			}
		}

	}

}
