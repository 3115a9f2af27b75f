import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * A worker: runs tasks under a lease, reports itself and lists what runs and what has ended. Starts whatever it is
 * told to start. A spec such as "200 ms" says how long a task takes. Safe for any thread.
 */
final class Worker {

	/** A run of a task, as the worker saw it. */
	static final class Run {

		final Worker worker;

		final String task;

		final long number;

		final String spec;

		final long startMillis;

		final long doneMillis;

		long endMillis = Long.MAX_VALUE;

		String how = "";

		Run(Worker worker, String task, long number, String spec, long startMillis, long workMillis) {
			this.worker = worker;
			this.task = task;
			this.number = number;
			this.spec = spec;
			this.startMillis = startMillis;
			this.doneMillis = startMillis + workMillis;
		}

		@Override
		public String toString() {
			return this.task + "#" + this.number + " at " + this.worker.name + " from " + this.startMillis + " to "
					+ ((this.endMillis == Long.MAX_VALUE) ? "-" : this.endMillis) + " " + this.how;
		}

	}

	private static final long HOLD_MAX_MILLIS = 1_000;

	final String name;

	private final Record record;

	private final long workMillis;

	private final String reportTo;

	private final HttpServer server;

	/** All runs of all lives. */
	final List<Run> history = new ArrayList<>();

	private final Map<String, Run> running = new LinkedHashMap<>();

	private final Map<String, Long> usedNumbers = new HashMap<>();

	private final List<String> ends = new ArrayList<>();

	private final List<Long> endNumbers = new ArrayList<>();

	private final String id;

	private long bornMillis;

	private long bornAt;

	private long fence;

	private long lastEnd;

	private long sequence;

	private long leaseUntil;

	private volatile boolean up = true;

	volatile String state = "ready";

	volatile String service = "service";

	/** Capacity in thousandths of a core. */
	private final long cpu;

	Worker(String name, String host, int port, String reportTo, long workMillis, long cpu, Record record,
			ExecutorService threads, ScheduledExecutorService timer) throws IOException {
		this.name = name;
		this.id = "i-" + name;
		this.record = record;
		this.workMillis = workMillis;
		this.cpu = cpu;
		this.reportTo = reportTo;
		bear();
		this.server = HttpServer.create(new InetSocketAddress(host, port), 200);
		this.server.setExecutor(threads);
		this.server.createContext("/", this::handle);
		this.server.start();
		timer.scheduleAtFixedRate(this::tick, 5, 5, TimeUnit.MILLISECONDS);
		timer.scheduleAtFixedRate(() -> threads.execute(this::report), 300, 1_500, TimeUnit.MILLISECONDS);
	}

	private void bear() {
		this.bornMillis = System.currentTimeMillis();
		this.bornAt = Record.millis();
		this.fence = 0;
		this.lastEnd = 0;
		this.sequence = 0;
		this.leaseUntil = 0;
	}

	private long clock() {
		return Record.millis() - this.bornAt;
	}

	private void report() {
		String body;
		synchronized (this) {
			if (!this.up) {
				return;
			}
			body = "{\"backend\":\"" + this.service + "\",\"address\":\"" + this.server.getAddress().getHostString() + ":"
					+ this.server.getAddress().getPort() + "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\"state\":\""
					+ this.state + "\",\"cold_left_ms\":0,\"capacity\":{\"cpu\":" + this.cpu
					+ ",\"mem_mb\":65536,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],\"clock_ms\":" + clock() + ",\"born\":"
					+ this.bornMillis + ",\"seq\":" + ++this.sequence + "}";
		}
		try (Client client = new Client(this.reportTo, 1_000)) {
			client.send("POST", "/instances/" + this.id + "/heartbeat", Map.of(), body);
			client.receive();
		}
		catch (IOException ex) {
			// The next report follows.
		}
	}

	private void handle(HttpExchange call) throws IOException {
		Map<String, Object> body = Json
			.object(new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
		if (!this.up) {
			// A machine without power does not respond, and connections to it hang.
			return;
		}
		if (!this.id.equals(call.getRequestHeaders().getFirst("Target-Instance"))) {
			answer(call, 421, "");
			return;
		}
		switch (call.getRequestURI().getPath()) {
			case "/run-start" -> {
				String reason = start(body);
				answer(call, reason.isEmpty() ? 200 : 409, reason.isEmpty() ? "" : ",\"reason\":\"" + reason + "\"");
			}
			case "/run-stop" -> answer(call, stop(body) ? 200 : 409, "");
			case "/hold" -> hold(call, body);
			default -> answer(call, 404, "");
		}
	}

	private void answer(HttpExchange call, int status, String fields) throws IOException {
		String text;
		synchronized (this) {
			text = "{\"clock_ms\":" + clock() + ",\"born\":" + this.bornMillis + fields + "}";
		}
		Store.answer(call, status, text.getBytes(StandardCharsets.UTF_8));
	}

	private boolean fenced(Map<String, Object> body) {
		long given = Json.number(body, "fence");
		if (given < this.fence) {
			return false;
		}
		this.fence = given;
		return true;
	}

	private void extend(Map<String, Object> body) {
		if (body.containsKey("deadline_ms")) {
			this.leaseUntil = Math.max(this.leaseUntil,
					Math.min(Json.number(body, "deadline_ms"), clock() + HOLD_MAX_MILLIS));
		}
	}

	private synchronized String start(Map<String, Object> body) {
		String task = (String) body.get("task");
		long number = Json.number(body, "run_id");
		if (!fenced(body)) {
			return "fence";
		}
		Run present = this.running.get(task);
		if (present != null && present.number == number) {
			return "";
		}
		if (present != null || number <= this.usedNumbers.getOrDefault(task, 0L)) {
			return "old";
		}
		if (Json.number(body, "deadline_ms") <= clock()) {
			return "late";
		}
		extend(body);
		this.usedNumbers.put(task, number);
		String spec = (String) body.get("spec");
		long millis = spec.matches("[0-9]{1,6} ms") ? Long.parseLong(spec.split(" ")[0]) : this.workMillis;
		Run run = new Run(this, task, number, spec, Record.millis(), millis);
		this.running.put(task, run);
		this.history.add(run);
		this.record.add("run " + task + "#" + number + " starts at " + this.name + " spec=" + printable(run.spec));
		return "";
	}

	static String printable(String text) {
		StringBuilder out = new StringBuilder();
		for (char c : text.toCharArray()) {
			out.append((c > ' ' && c < 127) ? String.valueOf(c) : String.format("\\u%04x", (int) c));
		}
		return (out.length() > 60) ? out.substring(0, 25) + "(" + text.length() + " characters)"
				+ out.substring(out.length() - 25) : out.toString();
	}

	private synchronized boolean stop(Map<String, Object> body) {
		if (!fenced(body)) {
			return false;
		}
		String task = (String) body.get("task");
		long number = Json.number(body, "run_id");
		this.usedNumbers.merge(task, number, Math::max);
		Run run = this.running.get(task);
		if (run != null && run.number == number) {
			end(run, "stopped");
		}
		return true;
	}

	private void end(Run run, String how) {
		run.endMillis = Record.millis();
		run.how = how;
		this.running.remove(run.task);
		this.lastEnd++;
		this.endNumbers.add(this.lastEnd);
		this.ends.add("[" + this.lastEnd + ",\"" + run.task + "\"," + run.number + ",\"" + how + "\",\"\"]");
		this.record.add("run " + run.task + "#" + run.number + " ends at " + this.name + " " + how);
		notifyAll();
	}

	private synchronized void tick() {
		for (Run run : List.copyOf(this.running.values())) {
			if (clock() >= this.leaseUntil) {
				end(run, "lapsed");
			}
			else if (Record.millis() >= run.doneMillis) {
				end(run, "done");
			}
		}
	}

	private void hold(HttpExchange call, Map<String, Object> body) throws IOException {
		String lists;
		synchronized (this) {
			if (!fenced(body)) {
				answer(call, 409, ",\"reason\":\"fence\"");
				return;
			}
			extend(body);
			long cursor = Json.number(body, "ack_cursor");
			while (!this.endNumbers.isEmpty() && this.endNumbers.get(0) <= cursor) {
				this.endNumbers.remove(0);
				this.ends.remove(0);
			}
			long until = Record.millis() + Math.min(2_000, Json.number(body, "wait_ms"));
			long life = this.bornMillis;
			try {
				while (this.ends.isEmpty() && Record.millis() < until && life == this.bornMillis && this.up) {
					wait(Math.max(1, until - Record.millis()));
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			List<String> rows = new ArrayList<>();
			for (Run run : this.running.values()) {
				long percent = Math.min(99, 100 * (Record.millis() - run.startMillis) / Math.max(1, run.doneMillis - run.startMillis));
				rows.add("[\"" + run.task + "\"," + run.number + ",\"\"," + percent + ",500]");
			}
			if (!this.up || life != this.bornMillis) {
				return;
			}
			lists = ",\"running\":[" + String.join(",", rows) + "],\"finished\":["
					+ String.join(",", this.ends.subList(0, Math.min(500, this.ends.size()))) + "]";
		}
		answer(call, 200, lists);
	}

	/** Loses power: all that runs ends, and nothing is answered until {@link #powerOn}. */
	synchronized void powerOff() {
		this.up = false;
		for (Run run : this.running.values()) {
			run.endMillis = Record.millis();
			run.how = "lost power";
		}
		this.running.clear();
		this.record.add("worker " + this.name + " loses power");
		notifyAll();
	}

	/** Starts again under the same id, and knows nothing of before. */
	synchronized void powerOn() {
		this.usedNumbers.clear();
		this.ends.clear();
		this.endNumbers.clear();
		bear();
		this.up = true;
		this.record.add("worker " + this.name + " has power again");
	}

	synchronized List<Run> runsOf(String jobId) {
		return this.history.stream().filter((r) -> r.task.startsWith(jobId + ".")).toList();
	}

}
