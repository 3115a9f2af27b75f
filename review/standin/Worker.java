import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;

import com.sun.net.httpserver.HttpExchange;

/**
 * Stand-in of a worker. It runs each task for the time that the case sets, keeps the
 * highest fence number, kills everything when its lease ends, and reports itself to the
 * agent on its machine. Thread-safe.
 */
final class Worker extends HttpStandin {

	private static final long HOLD_MAX_MILLIS = 1_000;

	private static final long HEARTBEAT_MILLIS = 1_500;

	final String id;

	private final String host;

	private final String service;

	private final String zone;

	private final String agent;

	private final long taskMillis;

	private final Record record;

	private final Witness witness;

	private final long bornMillis = System.currentTimeMillis();

	private final long startMillis = Record.nowMillis();

	private final Map<String, Run> running = new LinkedHashMap<>();

	private final Map<String, Long> endedRuns = new HashMap<>();

	private final List<End> ends = new ArrayList<>();

	private final List<Start> starts = new ArrayList<>();

	private long lastEnd;

	private long fence;

	private long leaseMillis;

	private long sequence;

	Worker(String id, String host, int port, String service, String zone, String agent, long taskMillis, Record record,
			Witness witness) throws IOException {
		super(host, port);
		this.id = id;
		this.host = host;
		this.service = service;
		this.zone = zone;
		this.agent = agent;
		this.taskMillis = taskMillis;
		this.record = record;
		this.witness = witness;
		startServing();
		background(this::runTasks);
		background(this::sendHeartbeats);
	}

	private static void background(Loop loop) {
		Thread thread = new Thread(() -> {
			try {
				loop.run();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

	private long clock() {
		return Record.nowMillis() - this.startMillis;
	}

	private void sendHeartbeats() throws InterruptedException {
		while (true) {
			String body = "{\"backend\":\"" + this.service + "\",\"address\":\"" + this.host + ":" + port()
					+ "\",\"zone\":\"" + this.zone
					+ "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,"
					+ "\"capacity\":{\"cpu\":32000,\"mem_mb\":65536,\"gpu\":0},\"labels\":[\"a\",\"r1-1\"],\"clock_ms\":"
					+ clock() + ",\"born\":" + this.bornMillis + ",\"seq\":" + (++this.sequence) + "}";
			int status = Client.send(this.agent, "POST", "/instances/" + this.id + "/heartbeat", this.agent, "", body,
					1_000).status();
			Thread.sleep((status == 200) ? HEARTBEAT_MILLIS : 200);
		}
	}

	private void runTasks() throws InterruptedException {
		while (true) {
			step();
			Thread.sleep(5);
		}
	}

	private synchronized void step() {
		long now = clock();
		boolean lapsed = now >= this.leaseMillis;
		for (Iterator<Run> runs = this.running.values().iterator(); runs.hasNext();) {
			Run run = runs.next();
			boolean done = now - run.startedMillis >= this.taskMillis;
			if (done || lapsed) {
				runs.remove();
				end(run, done ? "done" : "lapsed");
			}
		}
	}

	private void end(Run run, String how) {
		this.endedRuns.merge(run.task, run.number, Math::max);
		this.witness.ended(run.task, run.number, this.id);
		this.ends.add(new End(++this.lastEnd, run, how));
		this.record.add("worker " + this.id + " end " + run.task + "#" + run.number + " " + how);
		notifyAll();
	}

	/** Returns the starts so far. */
	synchronized List<Start> starts() {
		return List.copyOf(this.starts);
	}

	synchronized int runningCount() {
		return this.running.size();
	}

	@Override
	synchronized Reply answer(HttpExchange exchange, String path, Map<String, String> query, byte[] body)
			throws InterruptedException {
		if (path.equals("/healthz")) {
			return Reply.json(200, "{}");
		}
		String target = exchange.getRequestHeaders().getFirst("Target-Instance");
		if (target != null && !target.equals(this.id)) {
			return Reply.json(421, "{}");
		}
		Map<String, Object> call = Json.object(new String(body, java.nio.charset.StandardCharsets.UTF_8));
		long callFence = Json.number(call, "fence", 0);
		if (callFence < this.fence) {
			return conflict("fence");
		}
		this.fence = callFence;
		return switch (path) {
			case "/run-start" -> start(call);
			case "/run-stop" -> stop(call);
			case "/hold" -> hold(call);
			default -> Reply.json(404, "{}");
		};
	}

	private Reply conflict(String reason) {
		return Reply.json(409, "{" + self() + ",\"reason\":\"" + reason + "\"}");
	}

	private String self() {
		return "\"clock_ms\":" + clock() + ",\"born\":" + this.bornMillis;
	}

	private void extendLease(Map<String, Object> call) {
		long deadline = Json.number(call, "deadline_ms", 0);
		this.leaseMillis = Math.max(this.leaseMillis, Math.min(deadline, clock() + HOLD_MAX_MILLIS));
	}

	private Reply start(Map<String, Object> call) {
		String task = (String) call.get("task");
		long number = Json.number(call, "run_id", 0);
		extendLease(call);
		if (number <= this.endedRuns.getOrDefault(task, 0L)) {
			return conflict("old");
		}
		if (clock() >= this.leaseMillis) {
			return conflict("late");
		}
		Run present = this.running.get(task);
		if (present != null && present.number >= number) {
			return Reply.json(200, "{" + self() + "}");
		}
		this.running.put(task, new Run(task, number, clock()));
		this.witness.began(task, number, this.id);
		this.starts.add(new Start(this.record.add("worker " + this.id + " start " + task + "#" + number), task, number));
		return Reply.json(200, "{" + self() + "}");
	}

	private Reply stop(Map<String, Object> call) {
		String task = (String) call.get("task");
		long number = Json.number(call, "run_id", 0);
		this.endedRuns.merge(task, number, Math::max);
		Run run = this.running.get(task);
		if (run != null && run.number <= number) {
			this.running.remove(task);
			end(run, "stopped");
		}
		return Reply.json(200, "{" + self() + "}");
	}

	private Reply hold(Map<String, Object> call) throws InterruptedException {
		extendLease(call);
		long cursor = Json.number(call, "ack_cursor", 0);
		this.ends.removeIf((end) -> end.position <= cursor);
		long untilMillis = clock() + Json.number(call, "wait_ms", 0);
		while (this.ends.isEmpty() && clock() < untilMillis) {
			wait(Math.max(1, untilMillis - clock()));
		}
		StringJoiner present = new StringJoiner(",");
		for (Run run : this.running.values()) {
			long percent = Math.min(99, 100 * (clock() - run.startedMillis) / this.taskMillis);
			present.add("[\"" + run.task + "\"," + run.number + ",\"\"," + percent + "]");
		}
		StringJoiner finished = new StringJoiner(",");
		for (End end : this.ends.subList(0, Math.min(500, this.ends.size()))) {
			finished.add("[" + end.position + ",\"" + end.run.task + "\"," + end.run.number + ",\"" + end.how + "\",\"\"]");
		}
		return Reply.json(200, "{" + self() + ",\"running\":[" + present + "],\"finished\":[" + finished + "]}");
	}

	private interface Loop {

		void run() throws InterruptedException;

	}

	private record Run(String task, long number, long startedMillis) {
	}

	private record End(long position, Run run, String how) {
	}

	/** A task that the worker has begun on an order, and when. */
	record Start(long atMillis, String task, long number) {
	}

}
