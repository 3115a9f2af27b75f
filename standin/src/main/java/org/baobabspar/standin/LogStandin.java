package org.baobabspar.standin;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.baobabspar.daemon.ClientConnections;
import org.baobabspar.daemon.Http;
import org.baobabspar.daemon.Json;
import org.baobabspar.daemon.LogPage;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;
import reactor.netty.resources.LoopResources;

/**
 * Simulates the platform's append-only log: streams of records with offsets, long polls,
 * limited retention and injected faults. All records are held in memory.
 * <p>
 * Invariant: the offsets of a stream are consecutive. Safe for any thread.
 */
public final class LogStandin implements AutoCloseable {

	private final Map<String, Stream> streams = new ConcurrentHashMap<>();

	private final AtomicLong appends = new AtomicLong();

	private final long retentionMillis;

	private volatile LogFaults faults = LogFaults.NONE;

	private DisposableServer server;

	/**
	 * Creates a log.
	 * @param retentionMillis how long records are retained
	 */
	public LogStandin(long retentionMillis) {
		this.retentionMillis = retentionMillis;
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
		routes.post("/streams/{stream}/records", this::append)
			.get("/streams/{stream}/records", this::read)
			.post("/faults",
					(request, response) -> Http.body(request)
						.flatMap((body) -> Mono.from(Http.json(response, 200, Map.of("ok", setFaults(body))))))
			.get("/health", (request, response) -> Http.json(response, 200, Map.of("appends", this.appends.get())));
	}

	private boolean setFaults(byte[] body) {
		try {
			this.faults = Json.MAPPER.readValue(body, LogFaults.class);
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
	public void faults(LogFaults faults) {
		this.faults = faults;
	}

	public long appends() {
		return this.appends.get();
	}

	private Stream stream(HttpServerRequest request) {
		return this.streams.computeIfAbsent(request.param("stream"), (name) -> new Stream());
	}

	private Publisher<Void> append(HttpServerRequest request, HttpServerResponse response) {
		LogFaults currentFaults = this.faults;
		if (currentFaults.down()) {
			return refuse(response);
		}
		return Http.body(request).delayElement(Duration.ofMillis(currentFaults.slowMillis())).flatMap((body) -> {
			if (currentFaults.loseAppends()) {
				return Mono.from(refuse(response));
			}
			this.appends.incrementAndGet();
			long offset = stream(request).append(Json.lenient(body));
			return Mono.from(currentFaults.loseAnswers() ? refuse(response)
					: Http.json(response, 200, Map.of("offset", offset)));
		});
	}

	private static Publisher<Void> refuse(HttpServerResponse response) {
		return Http.json(response, 503, Map.of("message", "the log is away"));
	}

	private Publisher<Void> read(HttpServerRequest request, HttpServerResponse response) {
		LogFaults currentFaults = this.faults;
		if (currentFaults.down()) {
			return refuse(response);
		}
		long from = number(request, "from", 0);
		int max = (int) number(request, "max", 100);
		long waitMillis = number(request, "waitMillis", 0);
		return stream(request).await(from, waitMillis)
			.delaySubscription(Duration.ofMillis(currentFaults.slowMillis()))
			.then(Mono.defer(() -> Mono.from(this.faults.down() ? refuse(response)
					: Http.json(response, 200, stream(request).page(from, max, this.retentionMillis)))));
	}

	private static long number(HttpServerRequest request, String name, long defaultValue) {
		List<String> values = new QueryStringDecoder(request.uri()).parameters().get(name);
		return (values != null) ? Long.parseLong(values.get(0)) : defaultValue;
	}

	@Override
	public void close() {
		this.server.disposeNow();
	}

	/** A stream of records. Safe for any thread. */
	private static final class Stream {

		private final TreeMap<Long, LogPage.Record> records = new TreeMap<>();

		private Sinks.One<Long> nextArrival = Sinks.one();

		private long nextOffset;

		private synchronized long append(JsonNode value) {
			long offset = this.nextOffset++;
			this.records.put(offset, new LogPage.Record(offset, System.currentTimeMillis(), value));
			this.nextArrival.tryEmitValue(offset);
			this.nextArrival = Sinks.one();
			return offset;
		}

		private synchronized Mono<Long> await(long from, long waitMillis) {
			if (this.nextOffset > from || waitMillis <= 0) {
				return Mono.just(this.nextOffset);
			}
			return this.nextArrival.asMono().timeout(Duration.ofMillis(waitMillis), Mono.just(from));
		}

		private synchronized LogPage page(long from, int max, long retentionMillis) {
			long oldestMillis = System.currentTimeMillis() - retentionMillis;
			while (!this.records.isEmpty() && this.records.firstEntry().getValue().timeMillis() < oldestMillis) {
				this.records.pollFirstEntry();
			}
			List<LogPage.Record> page = new ArrayList<>(
					this.records.tailMap(from, true).values().stream().limit(max).toList());
			long first = this.records.isEmpty() ? this.nextOffset : this.records.firstKey();
			long followingOffset = page.isEmpty() ? Math.max(from, first) : page.get(page.size() - 1).offset() + 1;
			return new LogPage(first, followingOffset, retentionMillis, page);
		}

	}

}
