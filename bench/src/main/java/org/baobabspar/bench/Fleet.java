package org.baobabspar.bench;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.sun.management.OperatingSystemMXBean;
import org.baobabspar.daemon.AgentDaemon;
import org.baobabspar.daemon.EntryDaemon;
import org.baobabspar.daemon.HttpCall;
import org.baobabspar.daemon.LogClient;
import org.baobabspar.daemon.Settings;
import org.baobabspar.document.DocumentHistory;
import org.baobabspar.document.DocumentRecord;
import org.baobabspar.document.EnvironmentDocument;
import org.baobabspar.document.Limits;
import org.baobabspar.document.Party;
import org.baobabspar.document.TaskClass;
import org.baobabspar.message.MessageType;
import org.baobabspar.model.CodedException;
import org.baobabspar.standin.EndpointStandin;
import org.baobabspar.standin.LogStandin;
import org.baobabspar.wire.FrameMeter;
import reactor.netty.resources.LoopResources;

/**
 * A log, entries, and agents with endpoints, all in this process, joined by real links on
 * loopback. Used by one thread.
 */
final class Fleet implements AutoCloseable {

	static final int SLOTS = 8;

	static final String[] DOMAINS = { "d1", "d2", "d3" };

	private static final long READY_MILLIS = 20_000;

	private final LoopResources loops = LoopResources.create("standin", 1, 2, true, true);

	private final LogStandin log = new LogStandin(TimeUnit.HOURS.toMillis(1));

	private final List<EntryDaemon> entries = new ArrayList<>();

	private final List<AgentDaemon> agents = new ArrayList<>();

	private final List<EndpointStandin> endpoints = new ArrayList<>();

	private final double[] slowness;

	private final int logPort;

	Fleet(int entryCount, double[] slowness, String policy) {
		this.slowness = slowness.clone();
		this.logPort = this.log.start("127.0.0.1", 0, this.loops);
		publish();
		StringBuilder peers = new StringBuilder();
		for (int i = 0; i < entryCount; i++) {
			EntryDaemon e = new EntryDaemon(Settings.read(EntryDaemon.SETTINGS,
					List.of("--id", "entry-" + i, "--failure-domain", DOMAINS[i % DOMAINS.length], "--http-port", "0",
							"--link-port", "0", "--log", "127.0.0.1:" + this.logPort, "--environment", "bench",
							"--peers", peers.toString(), "--policy", policy),
					Map.of()));
			e.start();
			peers.append((i > 0) ? "," : "").append("127.0.0.1:").append(e.linkPort());
			this.entries.add(e);
		}
		for (int i = 0; i < slowness.length; i++) {
			startAgent(i, peers.toString());
		}
		awaitReady();
	}

	private void startAgent(int i, String entryAddresses) {
		EndpointStandin s = new EndpointStandin(this.slowness[i], 0);
		int port = s.start("127.0.0.1", 0, this.loops);
		this.endpoints.add(s);
		AgentDaemon a = new AgentDaemon(Settings.read(
				AgentDaemon.SETTINGS, List.of("--id", "agent-" + i, "--failure-domain", DOMAINS[i % DOMAINS.length],
						"--entries", entryAddresses, "--endpoint", "127.0.0.1:" + port, "--slots", "" + SLOTS),
				Map.of()));
		a.start();
		this.agents.add(a);
	}

	private void publish() {
		EnvironmentDocument d = new EnvironmentDocument("bench",
				List.of(new Party("alpha", 0.5, 200_000), new Party("beta", 0.5, 200_000)),
				List.of(new TaskClass("urgent", 0, 2_000, true, 0), new TaskClass("ticket", 0, 2_000, false, 0),
						new TaskClass("normal", 1, 5_000, true, 0.1), new TaskClass("report", 2, 20_000, true, 0.05)),
				Limits.DEFAULTS);
		LogClient c = new LogClient("127.0.0.1:" + this.logPort);
		long offset = c.append("environment", DocumentRecord.publish("p", "bench", d)).block();
		c.append("environment", DocumentRecord.promote("bench", "q", "bench", DocumentHistory.versionAt(offset), 0))
			.block();
	}

	private void awaitReady() {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MILLIS);
		for (EntryDaemon e : this.entries) {
			while (!ready(e)) {
				if (System.nanoTime() > end) {
					throw new IllegalStateException("the fleet did not become ready");
				}
				pause(100);
			}
		}
	}

	private boolean ready(EntryDaemon e) {
		try {
			var s = new HttpCall("127.0.0.1:" + e.httpPort()).get("/v1/status");
			int usable = 0;
			for (var a : s.get("agents")) {
				usable += a.get("usable").asBoolean() ? 1 : 0;
			}
			return s.get("ready").asBoolean() && usable == this.slowness.length;
		}
		catch (CodedException ex) {
			return false;
		}
	}

	static void pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Return the work that the endpoints can do.
	 * @param slowness slowness of each endpoint
	 * @return work milliseconds a millisecond
	 */
	static double capacity(double[] slowness) {
		double c = 0;
		for (double s : slowness) {
			c += SLOTS / s;
		}
		return c;
	}

	int logPort() {
		return this.logPort;
	}

	List<Integer> httpPorts() {
		return this.entries.stream().map(EntryDaemon::httpPort).toList();
	}

	List<EndpointStandin> endpoints() {
		return this.endpoints;
	}

	/**
	 * End an entry without notice.
	 * @param i its index
	 */
	void kill(int i) {
		this.entries.get(i).close();
	}

	/**
	 * Count the frames that all processes have sent.
	 * @return frames by type
	 */
	Map<MessageType, Long> frames() {
		Map<MessageType, Long> r = new EnumMap<>(MessageType.class);
		for (MessageType t : MessageType.values()) {
			long n = this.entries.stream().mapToLong((e) -> e.frames().sent(t)).sum()
					+ this.agents.stream().mapToLong((a) -> a.frames().sent(t)).sum();
			r.put(t, n);
		}
		return r;
	}

	/**
	 * Measure the links while nothing is submitted.
	 * @param millis how long
	 * @return bytes a second of an entry and of an agent, frames a second of an entry,
	 * and processor microseconds a second of this process
	 */
	double[] idleRates(long millis) {
		OperatingSystemMXBean os = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
		pause(2_000);
		double[] before = totals(os);
		pause(millis);
		double[] after = totals(os);
		for (int i = 0; i < after.length; i++) {
			after[i] = (after[i] - before[i]) * 1000 / millis;
		}
		return after;
	}

	private double[] totals(OperatingSystemMXBean os) {
		FrameMeter e = this.entries.get(0).frames();
		FrameMeter a = this.agents.get(0).frames();
		double frames = 0;
		for (MessageType t : MessageType.values()) {
			frames += e.sent(t) + e.received(t);
		}
		return new double[] { e.sentBytes() + e.receivedBytes(), a.sentBytes() + a.receivedBytes(), frames,
				os.getProcessCpuTime() / 1e3 };
	}

	long doubleStarts() {
		Map<String, Integer> all = new HashMap<>();
		this.endpoints.forEach((e) -> e.starts().forEach((k, n) -> all.merge(k, n.get(), Integer::sum)));
		return all.values().stream().filter((n) -> n > 1).count();
	}

	boolean started(String jobId) {
		return this.endpoints.stream()
			.anyMatch((e) -> e.starts().keySet().stream().anyMatch((k) -> k.startsWith(jobId + "#")));
	}

	@Override
	public void close() {
		this.agents.forEach(AgentDaemon::close);
		this.entries.forEach(EntryDaemon::close);
		this.endpoints.forEach(EndpointStandin::close);
		this.log.close();
		this.loops.dispose();
	}

}
