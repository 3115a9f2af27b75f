import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback addresses: the store, entries and agents as processes with the commands of the
 * deploy file, and a worker beside each agent. Used by one thread.
 */
final class Deployment implements AutoCloseable {

	static final String HOST = "jobs.example";

	static final String PREFIX = "/queue/";

	static final int EDGE_DESCRIPTORS = 4_100;

	final ExecutorService threads = Executors.newCachedThreadPool((r) -> {
		Thread t = new Thread(r);
		t.setDaemon(true);
		return t;
	});

	final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, (r) -> {
		Thread t = new Thread(r);
		t.setDaemon(true);
		return t;
	});

	final Record record;

	final Path logs;

	final Store store;

	final Map<String, Process> processes = new LinkedHashMap<>();

	final List<Worker> workers = new ArrayList<>();

	final Map<String, String> fronts = new HashMap<>();

	/** The service that the desired state names for all queues. */
	String backend = "service";

	private final Map<String, String> readies = new HashMap<>();

	private final int controlPort;

	private final int linkPort;

	private final int frontPort;

	private final int readyPort;

	private final int appPort;

	private final String seeds;

	private final int entries;

	Deployment(Record record, int entries, int agents, long workMillis, long cpu) throws Exception {
		this.record = record;
		this.entries = entries;
		Runtime.getRuntime()
			.addShutdownHook(new Thread(() -> List.copyOf(this.processes.values()).forEach(Process::destroyForcibly)));
		this.logs = Files.createTempDirectory("review-3-");
		int[] ports = freePorts(5);
		this.controlPort = ports[0];
		this.linkPort = ports[1];
		this.frontPort = ports[2];
		this.readyPort = ports[3];
		this.appPort = ports[4];
		this.store = new Store("127.0.0.1", this.threads);
		List<String> controls = new ArrayList<>();
		for (int i = 1; i <= Math.min(3, entries); i++) {
			controls.add(entryHost(i) + ":" + this.controlPort);
		}
		this.seeds = String.join(",", controls);
		for (int i = 1; i <= entries; i++) {
			startEntry(i);
		}
		for (int i = 1; i <= agents; i++) {
			startAgent(i);
			this.workers.add(new Worker("w" + i, agentHost(i), this.appPort, agentHost(i) + ":" + this.controlPort,
					workMillis, cpu, record, this.threads, this.timer));
		}
	}

	private static int[] freePorts(int count) throws IOException {
		ServerSocket[] sockets = new ServerSocket[count];
		for (int i = 0; i < count; i++) {
			sockets[i] = new ServerSocket(0, 1, InetAddress.getByName("0.0.0.0"));
		}
		int[] ports = Arrays.stream(sockets).mapToInt(ServerSocket::getLocalPort).toArray();
		for (ServerSocket socket : sockets) {
			socket.close();
		}
		return ports;
	}

	static String entryHost(int i) {
		return "127.0.1." + i;
	}

	static String agentHost(int i) {
		return "127.0.2." + i;
	}

	/** Puts a desired state with one queue for each priority given. */
	void configure(int version, int... priorities) {
		List<String> routes = new ArrayList<>();
		for (int i = 0; i < priorities.length; i++) {
			routes.add("{\"name\":\"r" + i + "\",\"hostname\":\"" + HOST + "\",\"path_prefix\":\""
					+ ((i == 0) ? PREFIX : "/queue" + i + "/")
					+ "\",\"type\":\"non_idempotent\",\"timeout_ms\":10000,\"target_latency_ms\":60,\"priority\":"
					+ priorities[i] + ",\"backend\":\"" + this.backend + "\",\"max_attempts\":3,\"slack_factor\":1.6}");
		}
		this.store.put("keyed.op", "config", "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
				+ "],\"services\":[{\"name\":\"" + this.backend + "\",\"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\","
				+ "\"tls\":false,\"rejects_overload\":false,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,"
				+ "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
	}

	void startEntry(int i) throws IOException {
		String host = entryHost(i);
		this.fronts.put("e" + i, host + ":" + this.frontPort);
		this.readies.put("e" + i, host + ":" + this.readyPort);
		start("e" + i, "entry",
				Map.of("node", "e" + i, "zone", "z", "listen_addrs.front", host + ":" + this.frontPort,
						"listen_addrs.ready", host + ":" + this.readyPort, "listen_addrs.control",
						host + ":" + this.controlPort, "ip", host, "limits.max_fds", "" + EDGE_DESCRIPTORS));
	}

	void startAgent(int i) throws IOException {
		String host = agentHost(i);
		start("a" + i, "agent",
				Map.of("node", "a" + i, "zone", "z", "listen_addrs.control", host + ":" + this.controlPort, "ip", host,
						"app", host + ":" + this.appPort, "seeds", this.seeds, "limits.max_fds", "4096"));
	}

	private void start(String name, String role, Map<String, String> settings) throws IOException {
		Map<String, String> all = new HashMap<>(settings);
		all.put("internal_ports", this.linkPort + "," + (this.linkPort + 15));
		all.put("platform.address", this.store.address());
		all.put("bounds.grace_s", "6");
		String run = "";
		boolean inRole = false;
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			inRole = line.startsWith("[") ? line.trim().equals("[roles." + role + "]") : inRole;
			if (inRole && line.startsWith("run = ")) {
				run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
			}
		}
		for (Map.Entry<String, String> setting : all.entrySet()) {
			run = run.replace("{{" + setting.getKey() + "}}", setting.getValue());
		}
		List<String> command = new ArrayList<>(Arrays.asList(run.split(" ")));
		if (command.get(0).equals("java")) {
			command.set(0, System.getProperty("java.home") + "/bin/java");
		}
		File log = this.logs.resolve(name + ".log").toFile();
		Process process = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(log))
			.start();
		this.processes.put(name, process);
		this.record.add("process " + name + " started");
	}

	/** Waits until all entries say that they are ready, and some time longer. */
	void awaitReady(long millis) throws Exception {
		long until = Record.millis() + millis;
		for (int i = 1; i <= this.entries; i++) {
			while (!ready("e" + i)) {
				if (Record.millis() > until) {
					throw new IllegalStateException("e" + i + " is not ready");
				}
				TimeUnit.MILLISECONDS.sleep(100);
			}
		}
		TimeUnit.MILLISECONDS.sleep(3_500);
		this.record.add("all entries are ready");
	}

	boolean ready(String entry) {
		try (Client client = new Client(this.readies.get(entry), 1_000)) {
			client.send("GET", "/ready", Map.of(), "");
			return client.receive().status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	void signal(String name, String signal) throws Exception {
		this.record.add("process " + name + " gets SIG" + signal);
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.processes.get(name).pid())).start().waitFor();
	}

	boolean alive(String name) {
		return this.processes.get(name).isAlive();
	}

	List<Worker.Run> runsOf(String jobId) {
		List<Worker.Run> runs = new ArrayList<>();
		this.workers.forEach((w) -> runs.addAll(w.runsOf(jobId)));
		return runs;
	}

	/** Copies the lines of the programs' logs that contain a text. */
	void recordLogs(String text) throws IOException {
		for (String name : this.processes.keySet()) {
			for (String line : Files.readAllLines(this.logs.resolve(name + ".log"))) {
				if (line.contains(text)) {
					this.record.add("log of " + name + ": " + line);
				}
			}
		}
	}

	@Override
	public void close() throws Exception {
		for (Process process : this.processes.values()) {
			process.destroyForcibly().waitFor();
		}
		for (File file : this.logs.toFile().listFiles()) {
			file.delete();
		}
		this.logs.toFile().delete();
	}

}
