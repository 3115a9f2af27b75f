package org.baobabspar.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import org.baobabspar.daemon.ClientConnections;
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
 * Simulates an endpoint. The run time of a task is the number of milliseconds in the
 * field {@code work} of its payload, multiplied by the slowness of the endpoint. Every
 * start is counted by job and index, so that tests can check that no task is started
 * twice; run times are summed for each customer, so that tests can check the recorded
 * usage.
 * <p>
 * Safe for any thread.
 */
public final class EndpointStandin implements AutoCloseable {

	private final Map<String, AtomicInteger> starts = new ConcurrentHashMap<>();

	private final Map<String, AtomicLong> busyMillis = new ConcurrentHashMap<>();

	private final AtomicInteger running = new AtomicInteger();

	private final AtomicInteger maxRunning = new AtomicInteger();

	private final double slowness;

	private final long networkMillis;

	private volatile EndpointFaults faults = EndpointFaults.NONE;

	private DisposableServer server;

	/**
	 * Creates an endpoint.
	 * @param slowness factor on the work of each task
	 * @param networkMillis delay added to each answer
	 */
	public EndpointStandin(double slowness, long networkMillis) {
		this.slowness = slowness;
		this.networkMillis = networkMillis;
	}

	/**
	 * Starts the HTTP server.
	 * @param host the local address
	 * @param port the port, 0 for any
	 * @param loops the event loops
	 * @return the bound port
	 */
	public int start(String host, int port, LoopResources loops) {
		this.server = Http.serve(host, port, loops, ClientConnections.ofProcess(), this::routes);
		return this.server.port();
	}

	private void routes(HttpServerRoutes routes) {
		routes.post("/tasks", this::run)
			.get("/health",
					(request, response) -> Http.json(response, this.faults.unhealthy() ? 503 : 200,
							Map.of("running", this.running)))
			.get("/starts", (request, response) -> Http.json(response, 200, this.starts))
			.get("/use", (request, response) -> Http.json(response, 200, this.busyMillis))
			.post("/faults", (request, response) -> Http.body(request)
				.flatMap((body) -> Mono.from(Http.json(response, 200, Map.of("ok", setFaults(body))))));
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
	 * Replaces the injected faults.
	 * @param faults the faults
	 */
	public void faults(EndpointFaults faults) {
		this.faults = faults;
	}

	/**
	 * Returns the number of starts of each task.
	 * @return starts by job and index, as {@code job#index}
	 */
	public Map<String, AtomicInteger> starts() {
		return this.starts;
	}

	public Map<String, AtomicLong> busyMillis() {
		return this.busyMillis;
	}

	public int maxRunning() {
		return this.maxRunning.get();
	}

	private Publisher<Void> run(HttpServerRequest request, HttpServerResponse response) {
		String task = request.requestHeaders().get("X-Job-Id") + "#" + request.requestHeaders().get("X-Task-Index");
		this.starts.computeIfAbsent(task, (t) -> new AtomicInteger()).incrementAndGet();
		this.maxRunning.accumulateAndGet(this.running.incrementAndGet(), Math::max);
		String party = request.requestHeaders().get("X-Party");
		EndpointFaults currentFaults = this.faults;
		long startNanos = System.nanoTime();
		return Http.body(request)
			.map(Json::lenient)
			.flatMap((payload) -> work(payload, currentFaults).thenReturn(payload))
			.doFinally((signal) -> recordEnd(party, startNanos))
			.flatMap((payload) -> Mono.from(answer(response, payload, task, currentFaults)));
	}

	private void recordEnd(String party, long startNanos) {
		this.running.decrementAndGet();
		this.busyMillis.computeIfAbsent(String.valueOf(party), (p) -> new AtomicLong())
			.addAndGet((System.nanoTime() - startNanos) / 1_000_000);
	}

	private Mono<Void> work(JsonNode payload, EndpointFaults faults) {
		if (faults.hang()) {
			return Mono.never();
		}
		if (faults.failAll()) {
			return Mono.empty();
		}
		long millis = Math.round(payload.path("work").asLong(50) * this.slowness * faults.slowdown())
				+ this.networkMillis;
		return Mono.delay(Duration.ofMillis(millis)).then();
	}

	private static Publisher<Void> answer(HttpServerResponse response, JsonNode payload, String task,
			EndpointFaults faults) {
		if (faults.failAll() || payload.path("fail").asBoolean()) {
			return Http.text(response, 500, "failed".getBytes(StandardCharsets.UTF_8));
		}
		return Http.json(response, 200, Map.of("task", task, "did", payload.path("do")));
	}

	@Override
	public void close() {
		this.server.disposeNow();
	}

}
