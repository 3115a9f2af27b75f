import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A case: a small deployment, what is done to it, and the check. The exit code is 10 if the
 * rule was broken and 0 if it held; any other one means that the case could not run. (A
 * virtual machine that fails exits with 1.)
 */
abstract class Case {

	static final int HELD = 0;

	static final int BROKEN = 10;

	static final int NOT_RUN = 2;

	static final String HOST = "nony24.example";

	static final String PREFIX = "/lohu930/";

	/** Bounds of a small deployment, in milliseconds. */
	static final long CONTACT_MILLIS = 3_000;

	static final long ACK_MILLIS = 4_000;

	static final long CANCEL_MILLIS = 3_000;

	static final long CONFIG_APPLY_MILLIS = 2_000;

	static final int CLIENT_TIMEOUT_MILLIS = 60_000;

	private static final long START_MILLIS = 30_000;

	final Fleet fleet;

	final Record record;

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	Case(Path root, Path folder) throws IOException {
		this.record = new Record(folder.resolve("record.txt"));
		this.fleet = new Fleet(root, this.record);
		this.record.add("trouble=" + this.trouble);
	}

	abstract int play() throws IOException, InterruptedException;

	/** Plays the case, ends all processes and exits. */
	final void run() {
		int status = NOT_RUN;
		Runtime.getRuntime().addShutdownHook(new Thread(this.fleet::close));
		try {
			status = play();
		}
		catch (IOException | InterruptedException | RuntimeException ex) {
			this.record.add("could not run: " + ex);
		}
		this.fleet.close();
		this.record.add("result " + ((status == BROKEN) ? "rule broken" : (status == HELD) ? "rule held" : "could not run"));
		this.record.close();
		Runtime.getRuntime().halt(status);
	}

	/** Returns a desired state with the first queue and, if wanted, a second one. */
	static String config(long version, boolean secondRoute) {
		String first = route("r-3hwrr6x", PREFIX);
		String second = secondRoute ? "," + route("r-73d3zji", "/pufi791/") : "";
		return "{\"version\":" + version + ",\"routes\":[" + first + second + "],\"services\":[{\"name\":\""
				+ Fleet.SERVICE + "\",\"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,"
				+ "\"rejects_overload\":false,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,"
				+ "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
	}

	private static String route(String name, String prefix) {
		return "{\"name\":\"" + name + "\",\"hostname\":\"" + HOST + "\",\"path_prefix\":\"" + prefix
				+ "\",\"type\":\"non_idempotent\",\"timeout_ms\":60000,\"target_latency_ms\":60,\"priority\":0,"
				+ "\"backend\":\"" + Fleet.SERVICE + "\",\"max_attempts\":4,\"slack_factor\":1.6}";
	}

	/** Returns a job of steps that follow each other, each with two tasks. */
	static String job(int steps, long taskMillis) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < steps; i++) {
			text.append((i == 0) ? "" : ",")
				.append("{\"count\":2,\"cpu\":3100,\"mem_mb\":64,\"est_runtime_ms\":" + taskMillis)
				.append((i == 0) ? "}" : ",\"depends_on\":[" + (i - 1) + "]}");
		}
		return "{\"spec\":\"review\",\"best_effort\":true,\"steps\":[" + text + "]}";
	}

	void publish(long version, boolean secondRoute) {
		this.fleet.store.put("keyed.op", "config", config(version, secondRoute));
		this.record.add("operator writes op/config version " + version + " second_queue=" + secondRoute);
	}

	Balancer.Entry ingressEntry(String name) {
		return new Balancer.Entry(name, this.fleet.setting(name, "listen_addrs.front"),
				this.fleet.setting(name, "listen_addrs.ready"));
	}

	/** Starts all processes and waits until the named entries are ready. */
	boolean startAll(List<String> entries) throws IOException {
		this.fleet.startAll();
		return entries.stream().allMatch((entry) -> this.fleet.awaitReady(entry, START_MILLIS));
	}

	Client.Answer call(String address, String method, String path, String body) {
		this.record.add("client sends " + method + " " + path + " to " + address);
		Client.Answer answer = Client.send(address, method, path, HOST,
				"Request-Timeout-Ms: " + CLIENT_TIMEOUT_MILLIS + "\r\n", body, CLIENT_TIMEOUT_MILLIS);
		this.record.add("client gets " + answer.status() + " " + answer.body() + " for " + method + " " + path);
		return answer;
	}

	CompletableFuture<Client.Answer> callLater(String address, String method, String path, String body) {
		return CompletableFuture.supplyAsync(() -> call(address, method, path, body));
	}

	/** Counts the starts of a job that come later than a time and writes them down. */
	int startsAfter(String job, long afterMillis) {
		List<Worker.Start> late = this.fleet.starts(job).stream().filter((s) -> s.atMillis() > afterMillis).toList();
		late.forEach((s) -> this.record
			.add("late start " + s.task() + "#" + s.number() + " at " + s.atMillis() + ", bound " + afterMillis));
		return late.size();
	}

}
