package org.baobabspar.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import org.baobabspar.daemon.Http;
import org.baobabspar.daemon.Json;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;
import reactor.netty.resources.LoopResources;

/**
 * Stands in for an endpoint. A task takes the milliseconds that its payload names under
 * {@code work}, times the slowness of the endpoint. Every start is counted by job and
 * index: this count is the witness that nothing is started twice, and its sum of run
 * times the witness of use.
 * <p>
 * Safe for any thread.
 */
public final class EndpointStandin implements AutoCloseable {

	private final Map<String, AtomicInteger> starts = new ConcurrentHashMap<>();

	private final Map<String, AtomicLong> busyMillis = new ConcurrentHashMap<>();

	private final AtomicInteger running = new AtomicInteger();

	private final AtomicInteger mostRunning = new AtomicInteger();

	private final double slowness;

	private final long networkMillis;

	private volatile EndpointFaults faults = EndpointFaults.NONE;

	private DisposableServer server;

	/**
	 * Create an endpoint.
	 * @param slowness factor on the work of each task
	 * @param networkMillis delay added to each answer
	 */
	public EndpointStandin(double slowness, long networkMillis) {
		this.slowness = slowness;
		this.networkMillis = networkMillis;
	}

	/**
	 * Start to serve.
	 * @param host the local address
	 * @param port the port, 0 for any
	 * @param loops the event loops
	 * @return the port
	 */
	public int start(String host, int port, LoopResources loops) {
		this.server = Http.serve(host, port, loops, this::routes);
		return this.server.port();
	}

	private void routes(HttpServerRoutes r) {
		r.post("/tasks", this::run)
			.get("/health",
					(q, s) -> Http.json(s, this.faults.unhealthy() ? 503 : 200, Map.of("running", this.running)))
			.get("/starts", (q, s) -> Http.json(s, 200, this.starts))
			.get("/use", (q, s) -> Http.json(s, 200, this.busyMillis))
			.post("/faults",
					(q, s) -> Http.body(q).flatMap((b) -> Mono.from(Http.json(s, 200, Map.of("ok", setFaults(b))))));
	}

	private boolean setFaults(byte[] body) {
		try {
			this.faults = Json.MAPPER.readValue(body, EndpointFaults.class);
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/**
	 * Switch faults on or off.
	 * @param f the faults
	 */
	public void faults(EndpointFaults f) {
		this.faults = f;
	}

	/**
	 * Return how often each task was started.
	 * @return starts by job and index, as {@code job#index}
	 */
	public Map<String, AtomicInteger> starts() {
		return this.starts;
	}

	public Map<String, AtomicLong> busyMillis() {
		return this.busyMillis;
	}

	public int mostRunning() {
		return this.mostRunning.get();
	}

	private Publisher<Void> run(HttpServerRequest q, HttpServerResponse s) {
		String task = q.requestHeaders().get("X-Job-Id") + "#" + q.requestHeaders().get("X-Task-Index");
		this.starts.computeIfAbsent(task, (t) -> new AtomicInteger()).incrementAndGet();
		this.mostRunning.accumulateAndGet(this.running.incrementAndGet(), Math::max);
		String party = q.requestHeaders().get("X-Party");
		EndpointFaults f = this.faults;
		long begin = System.nanoTime();
		return Http.body(q)
			.map(Json::lenient)
			.flatMap((p) -> work(p, f).thenReturn(p))
			.doFinally((x) -> ended(party, begin))
			.flatMap((p) -> Mono.from(answer(s, p, task, f)));
	}

	private void ended(String party, long begin) {
		this.running.decrementAndGet();
		this.busyMillis.computeIfAbsent(String.valueOf(party), (p) -> new AtomicLong())
			.addAndGet((System.nanoTime() - begin) / 1_000_000);
	}

	private Mono<Void> work(JsonNode payload, EndpointFaults f) {
		if (f.hang()) {
			return Mono.never();
		}
		if (f.failAll()) {
			return Mono.empty();
		}
		long millis = Math.round(payload.path("work").asLong(50) * this.slowness * f.slowdown()) + this.networkMillis;
		return Mono.delay(Duration.ofMillis(millis)).then();
	}

	private static Publisher<Void> answer(HttpServerResponse s, JsonNode payload, String task, EndpointFaults f) {
		if (f.failAll() || payload.path("fail").asBoolean()) {
			return Http.text(s, 500, "failed".getBytes(StandardCharsets.UTF_8));
		}
		return Http.json(s, 200, Map.of("task", task, "did", payload.path("do")));
	}

	@Override
	public void close() {
		this.server.disposeNow();
	}

}
