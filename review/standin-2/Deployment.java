import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: entries, agents with a worker each, and the
 * platform's store. Ends all processes that it started when it is closed. Confined to one
 * thread.
 */
final class Deployment implements AutoCloseable {

	static final String PREFIX = "/desk/";

	static final String GRACE_SECONDS = "6";

	static final String SERVICE = "desk";

	private static final String CONFIG = "{\"version\":7,\"routes\":[{\"name\":\"r-desk\",\"hostname\":\"desk.example\","
			+ "\"path_prefix\":\"" + PREFIX + "\",\"type\":\"non_idempotent\",\"timeout_ms\":5000,"
			+ "\"target_latency_ms\":60,\"priority\":0,\"backend\":\"" + SERVICE + "\",\"max_attempts\":4,\"slack_factor\":1.6}],"
			+ "\"services\":[{\"name\":\"" + SERVICE + "\",\"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\","
			+ "\"tls\":false,\"rejects_overload\":false,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,"
			+ "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

	private static final long READY_MILLIS = 30_000;

	final Record record;

	private final String graceSeconds;

	final Store store = new Store();

	final List<Program> entries = new ArrayList<>();

	final List<String> fronts = new ArrayList<>();

	final List<String> readies = new ArrayList<>();

	final List<Program> agents = new ArrayList<>();

	final List<Worker> workers = new ArrayList<>();

	/** The addresses at which the agents take the reports of their workers. */
	final List<String> controls = new ArrayList<>();

	private final Path logs = Files.createTempDirectory("review-logs-");

	Deployment(int entryCount, int agentCount, Record record) throws IOException {
		this(entryCount, agentCount, record, GRACE_SECONDS);
	}

	/**
	 * Creates a deployment.
	 * @param entryCount the number of entries
	 * @param agentCount the number of agents, each with a worker
	 * @param record the record of the case
	 * @param graceSeconds the setting bounds.grace_s
	 */
	Deployment(int entryCount, int agentCount, Record record, String graceSeconds) throws IOException {
		this.record = record;
		this.graceSeconds = graceSeconds;
		this.store.put("keyed.op", "config", CONFIG);
		int linkPort = freePort("127.0.0.1");
		List<String> seeds = new ArrayList<>();
		for (int i = 0; i < entryCount; i++) {
			String ip = "127.0.1." + (i + 1);
			String front = ip + ":" + freePort(ip);
			String ready = ip + ":" + freePort(ip);
			String control = ip + ":" + freePort(ip);
			Map<String, String> settings = common("entry-" + (i + 1), ip, linkPort, control);
			settings.put("listen_addrs.front", front);
			settings.put("listen_addrs.ready", ready);
			settings.put("limits.max_fds", "4100");
			seeds.add(control);
			this.fronts.add(front);
			this.readies.add(ready);
			this.entries.add(new Program("entry", settings, this.logs));
		}
		for (int i = 0; i < agentCount; i++) {
			String ip = "127.0.2." + (i + 1);
			Worker worker = new Worker("i-" + (i + 1), ip, 32_000, record);
			String control = ip + ":" + freePort(ip);
			Map<String, String> settings = common("side-" + (i + 1), ip, linkPort, control);
			settings.put("app", worker.address());
			settings.put("seeds", String.join(",", seeds.subList(0, Math.min(3, seeds.size()))));
			settings.put("limits.max_fds", "4096");
			worker.reportTo(control);
			this.controls.add(control);
			this.workers.add(worker);
			this.agents.add(new Program("agent", settings, this.logs));
		}
	}

	private Map<String, String> common(String node, String ip, int linkPort, String control) {
		Map<String, String> settings = new LinkedHashMap<>();
		settings.put("node", node);
		settings.put("zone", "z1");
		settings.put("ip", ip);
		settings.put("internal_ports", linkPort + "," + (linkPort + 15));
		settings.put("listen_addrs.control", control);
		settings.put("platform.address", this.store.address());
		settings.put("bounds.grace_s", this.graceSeconds);
		return settings;
	}

	private static int freePort(String host) throws IOException {
		try (ServerSocket socket = new ServerSocket()) {
			socket.bind(new InetSocketAddress(InetAddress.getByName(host), 0));
			return socket.getLocalPort();
		}
	}

	/** Starts all programs and waits until each entry is ready. */
	boolean start() throws IOException, InterruptedException {
		for (Program program : programs()) {
			program.start();
		}
		for (String ready : this.readies) {
			if (!awaitReady(ready)) {
				this.record.line("not ready: " + ready);
				return false;
			}
		}
		Thread.sleep(1_000);
		this.record.line("all entries are ready");
		return true;
	}

	boolean awaitReady(String ready) throws InterruptedException {
		long until = this.record.millis() + READY_MILLIS;
		while (this.record.millis() < until) {
			if (readyStatus(ready) == 200) {
				return true;
			}
			Thread.sleep(100);
		}
		return false;
	}

	/** Returns the status of a readiness check, 0 for no answer within a second. */
	static int readyStatus(String ready) {
		try (Client client = new Client(ready, 1_000)) {
			client.sendHead("GET", "/ready", 1_000, 0);
			return client.answer().status();
		}
		catch (IOException ex) {
			return 0;
		}
	}

	private List<Program> programs() {
		List<Program> all = new ArrayList<>(this.entries);
		all.addAll(this.agents);
		return all;
	}

	/** Returns whether a task of a job has started on any worker. */
	boolean hasStarted(String job) {
		return this.workers.stream().anyMatch((worker) -> worker.startedJobs().contains(job));
	}

	/** Ends all processes that were started. */
	void killAll() {
		programs().forEach(Program::kill);
	}

	@Override
	public void close() throws IOException {
		killAll();
		if (System.getenv("KEEP_LOGS") == null) {
			try (Stream<Path> files = Files.walk(this.logs)) {
				files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
			}
		}
	}

	/** Returns the body of a job of one step. */
	static String job(long workMillis, int tasks) {
		return "{\"spec\":\"" + workMillis + " ms\",\"best_effort\":true,\"steps\":[{\"count\":" + tasks
				+ ",\"cpu\":1000,\"mem_mb\":64,\"est_runtime_ms\":" + workMillis + "}]}";
	}

}
