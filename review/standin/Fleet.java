import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: a store, entries, and agents with one worker
 * each. Entries and agents are processes started with the commands of the deploy file.
 */
final class Fleet implements AutoCloseable {

	static final String SERVICE = "huvo11a";

	private static final Pattern RUN = Pattern.compile("^run = \"(.*)\"$");

	private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.]+)\\}\\}");

	private static final List<String> ENVIRONMENT = List.of("PATH", "HOME", "JAVA_HOME", "LANG");

	private static final int MIN_PORT = 12_000;

	private static final int MAX_PORT = 28_000;

	private final Path root;

	private final Path logs;

	private final Record record;

	private final Map<String, String> commands = new LinkedHashMap<>();

	private final Map<String, Map<String, String>> settings = new TreeMap<>();

	private final Map<String, Process> processes = new TreeMap<>();

	private final Map<String, LogCollector> collectors = new TreeMap<>();

	final Map<String, Worker> workers = new TreeMap<>();

	final Store store;

	final Witness witness;

	private final int firstPort = freePort("127.0.1.1", "127.0.1.2");

	Fleet(Path root, Record record) throws IOException {
		this.root = root;
		this.record = record;
		this.logs = Files.createTempDirectory("baobabspar-review");
		this.witness = new Witness(record);
		this.store = new Store("127.0.0.1");
		String role = "";
		for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
			if (line.startsWith("[roles.")) {
				role = line.substring(7, line.length() - 1);
			}
			Matcher run = RUN.matcher(line);
			if (run.matches()) {
				this.commands.put(role, run.group(1));
			}
		}
	}

	/**
	 * Returns a port that is free on all addresses given. It lies below the ports that
	 * outgoing connections take.
	 */
	private static int freePort(String... hosts) throws IOException {
		while (true) {
			int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
			boolean free = true;
			for (String host : hosts) {
				free &= isFree(host, port);
			}
			if (free) {
				return port;
			}
		}
	}

	private static boolean isFree(String host, int port) throws IOException {
		try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
			return true;
		}
		catch (BindException ex) {
			return false;
		}
	}

	private Map<String, String> machine(String name, String zone, String ip) throws IOException {
		Map<String, String> fields = new LinkedHashMap<>();
		fields.put("node", name);
		fields.put("zone", zone);
		fields.put("ip", ip);
		fields.put("internal_ports", this.firstPort + "," + (this.firstPort + 15));
		fields.put("listen_addrs.control", ip + ":" + freePort(ip));
		fields.put("platform.address", "127.0.0.1:" + this.store.port());
		fields.put("bounds.grace_s", "6");
		fields.put("limits.max_fds", "4096");
		this.settings.put(name, fields);
		return fields;
	}

	void addEntry(String name, String zone, String ip) throws IOException {
		Map<String, String> fields = machine(name, zone, ip);
		fields.put("listen_addrs.front", ip + ":" + freePort(ip));
		fields.put("listen_addrs.ready", ip + ":" + freePort(ip));
	}

	void addAgent(String name, String zone, String ip, String seeds, long taskMillis) throws IOException {
		Map<String, String> fields = machine(name, zone, ip);
		fields.put("seeds", seeds);
		int port = freePort(ip);
		fields.put("app", ip + ":" + port);
		this.workers.put(name, new Worker("i-" + name, ip, port, SERVICE, zone, fields.get("listen_addrs.control"),
				taskMillis, this.record, this.witness));
	}

	String setting(String name, String field) {
		return this.settings.get(name).get(field);
	}

	/** Starts the process of a machine. */
	void start(String name) throws IOException {
		String role = this.settings.get(name).containsKey("app") ? "agent" : "entry";
		Matcher matcher = PLACEHOLDER.matcher(this.commands.get(role));
		String command = matcher
			.replaceAll((found) -> Matcher.quoteReplacement(this.settings.get(name).getOrDefault(found.group(1), "")));
		ProcessBuilder builder = new ProcessBuilder(command.split(" ")).directory(this.root.toFile())
			.redirectErrorStream(true);
		builder.environment().keySet().retainAll(ENVIRONMENT);
		Process process = builder.start();
		this.processes.put(name, process);
		this.collectors.put(name, new LogCollector(process.getInputStream(), this.logs.resolve(name + ".log")));
		this.record.add("platform starts " + name);
	}

	void startAll() throws IOException {
		for (String name : this.settings.keySet()) {
			start(name);
		}
	}

	/** Sends a signal to the process of a machine. */
	void signal(String name, String signal) throws IOException, InterruptedException {
		this.record.add("platform sends SIG" + signal + " to " + name);
		new ProcessBuilder("sh", "-c", "kill -" + signal + " " + this.processes.get(name).pid()).start().waitFor();
	}

	/** Lets the log collector of a machine read on, or not. */
	void collectLogs(String name, boolean reading) {
		this.record.add("platform " + (reading ? "reads" : "does not read") + " the log of " + name);
		this.collectors.get(name).setReading(reading);
	}

	boolean awaitExit(String name, long millis) throws InterruptedException {
		boolean ended = this.processes.get(name).waitFor(millis, TimeUnit.MILLISECONDS);
		this.record.add("process of " + name + (ended ? " ended" : " still runs"));
		return ended;
	}

	/** Returns all starts of a job on all workers. */
	List<Worker.Start> starts(String job) {
		List<Worker.Start> starts = new ArrayList<>();
		this.workers.values()
			.forEach((worker) -> worker.starts().stream().filter((s) -> s.task().startsWith(job)).forEach(starts::add));
		return starts;
	}

	/** Waits until an entry says that it is ready. */
	boolean awaitReady(String name, long millis) {
		long untilMillis = Record.nowMillis() + millis;
		String ready = setting(name, "listen_addrs.ready");
		while (Record.nowMillis() < untilMillis) {
			if (Client.send(ready, "GET", "/ready", ready, "", "", 500).status() == 200) {
				this.record.add("entry " + name + " ready");
				return true;
			}
			Balancer.sleep(50);
		}
		return false;
	}

	Path logs() {
		return this.logs;
	}

	@Override
	public void close() {
		this.processes.values().forEach(Process::destroyForcibly);
		this.processes.values().forEach((process) -> {
			try {
				process.waitFor();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		if (System.getenv("KEEP_LOGS") == null) {
			delete();
		}
	}

	private void delete() {
		try (var files = Files.list(this.logs)) {
			files.forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			// Only a temporary folder is left behind.
		}
		this.logs.toFile().delete();
	}

}
