import java.io.IOException;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * A worker: runs tasks under a lease, lists what runs and what has ended, and reports
 * itself to the agent on its machine. A task takes the milliseconds at the start of its
 * job's spec. Thread-safe.
 */
final class Worker {

	private static final long MAX_LEASE_MILLIS = 1_000;

	private static final long HEARTBEAT_MILLIS = 1_500;

	private final String id;

	private final Record record;

	private final long cpu;

	private final long bornMillis = System.currentTimeMillis();

	private final long startNanos = System.nanoTime();

	private final HttpServer server;

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "worker");
		thread.setDaemon(true);
		return thread;
	});

	private final Map<String, Run> running = new LinkedHashMap<>();

	/** The highest run of each task that has ended or was stopped. */
	private final Map<String, Long> usedRuns = new HashMap<>();

	private final List<End> ends = new ArrayList<>();

	private final List<String> starts = new ArrayList<>();

	private final List<Period> periods = new ArrayList<>();

	private long lastEnd;

	private long lastStartMillis = -1;

	private long fence;

	private long leaseUntilMillis;

	private long sequence;

	private volatile boolean draining;

	private volatile long drainConfirmedMillis = -1;

	Worker(String id, String host, long cpu, Record record) throws IOException {
		this.id = id;
		this.cpu = cpu;
		this.record = record;
		this.server = HttpServer.create(new InetSocketAddress(host, 0), 64);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "worker");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/", this::handle);
		this.server.start();
		this.timer.scheduleAtFixedRate(this::tick, 5, 5, TimeUnit.MILLISECONDS);
	}

	String address() {
		return this.server.getAddress().getHostString() + ":" + this.server.getAddress().getPort();
	}

	/** Returns how many starts this worker has carried out. */
	synchronized int startCount() {
		return this.starts.size();
	}

	/** Returns the jobs of which a task has started. */
	synchronized List<String> startedJobs() {
		return this.starts.stream().map((task) -> task.substring(0, task.indexOf('.'))).distinct().toList();
	}

	/** Says from now on that it drains, and goes on serving. */
	void drain() {
		this.draining = true;
	}

	/** Returns when the agent first confirmed that this worker drains, -1 before that. */
	long drainConfirmedMillis() {
		return this.drainConfirmedMillis;
	}

	/** Returns the start of this life as its reports give it. */
	long bornMillis() {
		return this.bornMillis;
	}

	/** Returns when the last start was carried out, -1 before the first one. */
	synchronized long lastStartMillis() {
		return this.lastStartMillis;
	}

	void reportTo(String controlAddress) {
		this.timer.scheduleAtFixedRate(() -> report(controlAddress), 100, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void report(String controlAddress) {
		try {
			HttpURLConnection call = (HttpURLConnection) new URL(
					"http://" + controlAddress + "/instances/" + this.id + "/heartbeat")
				.openConnection();
			call.setConnectTimeout(300);
			call.setReadTimeout(1_000);
			call.setRequestMethod("POST");
			call.setRequestProperty("Content-Type", "application/json");
			call.setDoOutput(true);
			boolean draining = this.draining;
			String body;
			synchronized (this) {
				body = "{\"backend\":\"" + Deployment.SERVICE + "\",\"address\":\"" + address()
						+ "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"" + (draining ? "draining" : "ready")
						+ "\",\"cold_left_ms\":0," + (draining ? "\"remaining_ms\":2000," : "")
						+ "\"capacity\":{\"cpu\":" + this.cpu + ",\"mem_mb\":65536,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],"
						+ "\"clock_ms\":" + clockMillis() + ",\"born\":" + this.bornMillis + ",\"seq\":"
						+ (++this.sequence) + "}";
			}
			call.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
			int status = call.getResponseCode();
			if (draining) {
				this.record.line("worker=" + this.id + " says draining, answered " + status);
			}
			if (draining && status / 100 == 2 && this.drainConfirmedMillis < 0) {
				this.drainConfirmedMillis = this.record.millis();
			}
			call.disconnect();
		}
		catch (IOException ex) {
			// The agent is not there; the next ping follows.
		}
	}

	private long clockMillis() {
		return (System.nanoTime() - this.startNanos) / 1_000_000;
	}

	private synchronized void tick() {
		long now = clockMillis();
		for (String task : List.copyOf(this.running.keySet())) {
			if (now >= this.leaseUntilMillis) {
				end(task, "lapsed");
			}
			else if (now >= this.running.get(task).untilMillis) {
				end(task, "done");
			}
		}
	}

	private void end(String task, String how) {
		Run run = this.running.remove(task);
		this.usedRuns.merge(task, run.number, Math::max);
		this.periods.add(new Period(this.id, task, run.startNanos, System.nanoTime()));
		this.ends.add(new End(++this.lastEnd, task, run.number, how));
		this.record.line("worker=" + this.id + " end task=" + task + " run=" + run.number + " how=" + how);
		notifyAll();
	}

	/** Counts the tasks of which two runs were present at the same time on different workers. */
	static int overlaps(List<Worker> workers, Record record) {
		Map<String, List<Period>> periods = new LinkedHashMap<>();
		for (Worker worker : workers) {
			synchronized (worker) {
				worker.periods.forEach((p) -> periods.computeIfAbsent(p.task, (t) -> new ArrayList<>()).add(p));
			}
		}
		int overlaps = 0;
		for (List<Period> ofTask : periods.values()) {
			for (Period first : ofTask) {
				for (Period second : ofTask) {
					if (first.startNanos < second.startNanos && second.startNanos < first.endNanos) {
						record.line("two runs of " + first.task + ": on " + first.worker + " and " + second.worker + " for "
								+ (Math.min(first.endNanos, second.endNanos) - second.startNanos) / 1_000 + " us");
						overlaps++;
					}
				}
			}
		}
		return overlaps;
	}

	private void handle(HttpExchange exchange) throws IOException {
		try {
			String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
			if (!this.id.equals(exchange.getRequestHeaders().getFirst("Target-Instance"))) {
				answer(exchange, 421, "");
				return;
			}
			switch (exchange.getRequestURI().getPath()) {
				case "/run-start" -> start(exchange, body);
				case "/run-stop" -> stop(exchange, body);
				case "/hold" -> hold(exchange, body);
				default -> answer(exchange, 404, "");
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			exchange.close();
		}
	}

	private void start(HttpExchange exchange, String body) throws IOException {
		String refusal;
		synchronized (this) {
			refusal = start(body);
		}
		String reason = refusal.isEmpty() ? "" : ",\"reason\":\"" + refusal + "\"";
		answer(exchange, refusal.isEmpty() ? 200 : 409, common() + reason + "}");
	}

	private String start(String body) {
		String task = Fields.text(body, "task");
		long number = Fields.number(body, "run_id", 0);
		if (!acceptsFence(body)) {
			return "fence";
		}
		Run present = this.running.get(task);
		if (present != null && present.number == number) {
			extendLease(body);
			return "";
		}
		if (number <= this.usedRuns.getOrDefault(task, 0L)) {
			extendLease(body);
			return "old";
		}
		if (Fields.number(body, "deadline_ms", 0) <= clockMillis()) {
			return "late";
		}
		extendLease(body);
		long workMillis = Long.parseLong(Fields.text(body, "spec").split(" ")[0]);
		this.running.put(task, new Run(number, clockMillis(), clockMillis() + workMillis));
		this.starts.add(task);
		this.lastStartMillis = this.record.millis();
		this.record.line("worker=" + this.id + " start task=" + task + " run=" + number);
		return "";
	}

	private boolean acceptsFence(String body) {
		long given = Fields.number(body, "fence", 0);
		if (given < this.fence) {
			return false;
		}
		this.fence = given;
		return true;
	}

	private void extendLease(String body) {
		long deadline = Fields.number(body, "deadline_ms", 0);
		this.leaseUntilMillis = Math.max(this.leaseUntilMillis, Math.min(deadline, clockMillis() + MAX_LEASE_MILLIS));
	}

	private void stop(HttpExchange exchange, String body) throws IOException {
		boolean accepted;
		synchronized (this) {
			accepted = acceptsFence(body);
			if (accepted) {
				String task = Fields.text(body, "task");
				long number = Fields.number(body, "run_id", 0);
				this.usedRuns.merge(task, number, Math::max);
				Run run = this.running.get(task);
				if (run != null && run.number == number) {
					end(task, "stopped");
				}
			}
		}
		answer(exchange, accepted ? 200 : 409, common() + (accepted ? "}" : ",\"reason\":\"fence\"}"));
	}

	private void hold(HttpExchange exchange, String body) throws IOException, InterruptedException {
		String answer;
		synchronized (this) {
			if (!acceptsFence(body)) {
				answer = null;
			}
			else {
				extendLease(body);
				long acknowledged = Fields.number(body, "ack_cursor", 0);
				this.ends.removeIf((end) -> end.number <= acknowledged);
				long untilNanos = System.nanoTime() + Fields.number(body, "wait_ms", 0) * 1_000_000;
				while (this.ends.isEmpty() && System.nanoTime() < untilNanos) {
					wait(Math.max(1, (untilNanos - System.nanoTime()) / 1_000_000));
				}
				answer = common() + ",\"running\":[" + String.join(",", runningRows()) + "],\"finished\":["
						+ String.join(",", this.ends.stream().limit(500).map(End::row).toList()) + "]}";
			}
		}
		answer(exchange, (answer != null) ? 200 : 409, (answer != null) ? answer : common() + ",\"reason\":\"fence\"}");
	}

	private List<String> runningRows() {
		List<String> rows = new ArrayList<>();
		long now = clockMillis();
		this.running.forEach((task, run) -> rows.add("[\"" + task + "\"," + run.number + ",\"\"," + run.percent(now)
				+ ",0]"));
		return rows;
	}

	private String common() {
		return "{\"clock_ms\":" + clockMillis() + ",\"born\":" + this.bornMillis;
	}

	private static void answer(HttpExchange exchange, int status, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, (bytes.length > 0) ? bytes.length : -1);
		if (bytes.length > 0) {
			try (OutputStream out = exchange.getResponseBody()) {
				out.write(bytes);
			}
		}
	}

	private static final class Run {

		private final long number;

		private final long startNanos = System.nanoTime();

		private final long startMillis;

		private final long untilMillis;

		Run(long number, long startMillis, long untilMillis) {
			this.number = number;
			this.startMillis = startMillis;
			this.untilMillis = untilMillis;
		}

		long percent(long now) {
			return Math.min(99, 100 * (now - this.startMillis) / Math.max(1, this.untilMillis - this.startMillis));
		}

	}

	private static final class End {

		private final long number;

		private final String task;

		private final long run;

		private final String how;

		End(long number, String task, long run, String how) {
			this.number = number;
			this.task = task;
			this.run = run;
			this.how = how;
		}

		String row() {
			return "[" + this.number + ",\"" + this.task + "\"," + this.run + ",\"" + this.how + "\",\"\"]";
		}

	}

	/** When a run was present, by the clock of this virtual machine. */
	private record Period(String worker, String task, long startNanos, long endNanos) {
	}

}
