package org.baobabspar.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import org.baobabspar.daemon.Json;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * Submits the jobs of a trace at their times to entries in turn and waits for the
 * answers. Safe for any thread.
 */
final class Driver implements AutoCloseable {

	private static final int MAX_CONNECTIONS = 4_000;

	private static final int LOST = -1;

	private static final int FIRST_UNKNOWN = 200;

	private static final int LAST_UNKNOWN = 299;

	private final LoopResources loops = LoopResources.create("driver", 1, 2, true, true);

	private final ConnectionProvider pool = ConnectionProvider.builder("driver")
		.maxConnections(MAX_CONNECTIONS)
		.pendingAcquireMaxCount(-1)
		.build();

	private final HttpClient http = HttpClient.create(this.pool).runOn(this.loops).disableRetry(true);

	private final List<Integer> ports;

	private final String run;

	private final long patienceMillis;

	private final int maxAttempts;

	private final Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();

	/**
	 * Create a driver.
	 * @param ports ports of the entries
	 * @param run makes the keys of this run unique
	 * @param patienceMillis after which a job is resubmitted elsewhere, 0 for never
	 * @param maxAttempts most submissions of a job
	 */
	Driver(List<Integer> ports, String run, long patienceMillis, int maxAttempts) {
		this.ports = ports;
		this.run = run;
		this.patienceMillis = patienceMillis;
		this.maxAttempts = maxAttempts;
	}

	/**
	 * Run a trace.
	 * @param t the trace
	 * @param drainMillis how long to wait for the last answers
	 * @return an outcome for each answered job
	 */
	List<Outcome> run(Trace t, long drainMillis) {
		long begin = System.nanoTime();
		long progress = 0;
		for (TraceJob j : t.jobs()) {
			long due = begin + TimeUnit.MILLISECONDS.toNanos(j.arrivalMillis());
			while (System.nanoTime() < due) {
				Fleet.pause(Math.max(0, TimeUnit.NANOSECONDS.toMillis(due - System.nanoTime())));
			}
			submit(j, 1, due);
			if (j.arrivalMillis() - progress >= 2_000) {
				progress = j.arrivalMillis();
				System.err.printf("  %5d ms, %d of %d jobs answered%n", progress, this.outcomes.size(),
						t.jobs().size());
			}
		}
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(drainMillis);
		while (this.outcomes.size() < t.jobs().size() && System.nanoTime() < end) {
			Fleet.pause(20);
		}
		return new ArrayList<>(this.outcomes);
	}

	private void submit(TraceJob j, int attempt, long begin) {
		int port = this.ports.get((j.id() + attempt - 1) % this.ports.size());
		long age = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
		byte[] body = Json.bytes(body(j, attempt, Math.max(0, age)));
		Mono<JsonNode> call = this.http.post()
			.uri("http://127.0.0.1:" + port + "/v1/jobs")
			.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
			.responseContent()
			.aggregate()
			.asByteArray()
			.map(Json::lenient);
		if (this.patienceMillis > 0 && attempt < this.maxAttempts) {
			call = call.timeout(Duration.ofMillis(this.patienceMillis * attempt));
		}
		call.subscribe((n) -> answered(j, attempt, begin, n), (ex) -> again(j, attempt, begin, LOST, 0));
	}

	private void answered(TraceJob j, int attempt, long begin, JsonNode n) {
		int code = n.path("code").asInt(LOST);
		boolean unknown = code >= FIRST_UNKNOWN && code <= LAST_UNKNOWN;
		if (unknown && attempt < this.maxAttempts) {
			again(j, attempt, begin, code, n.path("retryAfterMillis").asLong());
		}
		else {
			end(j, attempt, begin, code);
		}
	}

	private void again(TraceJob j, int attempt, long begin, int code, long afterMillis) {
		if (attempt >= this.maxAttempts) {
			end(j, attempt, begin, code);
		}
		else {
			Mono.delay(Duration.ofMillis(1 + afterMillis)).subscribe((x) -> submit(j, attempt + 1, begin));
		}
	}

	private void end(TraceJob j, int attempt, long begin, int code) {
		double millis = (System.nanoTime() - begin) / 1e6;
		this.outcomes.add(new Outcome(j, j.party() + "/" + key(j), code, millis, attempt));
	}

	private String key(TraceJob j) {
		return this.run + "-" + j.id();
	}

	private Map<String, Object> body(TraceJob j, int attempt, long age) {
		List<Map<String, Object>> tasks = new ArrayList<>();
		for (int i = 0; i < j.workMillis().size(); i++) {
			tasks.add(Map.of("payload", Map.of("work", j.workMillis().get(i)), "declaredMillis",
					j.declaredMillis().get(i)));
		}
		Map<String, Object> m = new HashMap<>();
		m.put("party", j.party());
		m.put("class", j.taskClass());
		m.put("idempotencyKey", key(j));
		m.put("attempt", attempt);
		m.put("millisSinceFirstAttempt", age);
		m.put("deadlineMillis", 30_000);
		m.put("tasks", tasks);
		return m;
	}

	@Override
	public void close() {
		this.pool.dispose();
		this.loops.dispose();
	}

}
