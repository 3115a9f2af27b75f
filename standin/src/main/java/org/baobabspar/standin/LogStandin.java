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
 * Stands in for the platform's append-only log: streams of records with offsets, long
 * polls, limited retention, and faults that can be switched on. Everything is in memory.
 * <p>
 * Invariant: offsets of a stream go up by one. Safe for any thread.
 */
public final class LogStandin implements AutoCloseable {

	private final Map<String, Stream> streams = new ConcurrentHashMap<>();

	private final AtomicLong appends = new AtomicLong();

	private final long retentionMillis;

	private volatile LogFaults faults = LogFaults.NONE;

	private DisposableServer server;

	/**
	 * Create a log.
	 * @param retentionMillis how long records are kept
	 */
	public LogStandin(long retentionMillis) {
		this.retentionMillis = retentionMillis;
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
		r.post("/streams/{stream}/records", this::append)
			.get("/streams/{stream}/records", this::read)
			.post("/faults",
					(q, s) -> Http.body(q).flatMap((b) -> Mono.from(Http.json(s, 200, Map.of("ok", setFaults(b))))))
			.get("/health", (q, s) -> Http.json(s, 200, Map.of("appends", this.appends.get())));
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
	 * Switch faults on or off.
	 * @param f the faults
	 */
	public void faults(LogFaults f) {
		this.faults = f;
	}

	public long appends() {
		return this.appends.get();
	}

	private Stream stream(HttpServerRequest q) {
		return this.streams.computeIfAbsent(q.param("stream"), (n) -> new Stream());
	}

	private Publisher<Void> append(HttpServerRequest q, HttpServerResponse s) {
		LogFaults f = this.faults;
		if (f.down()) {
			return refuse(s);
		}
		return Http.body(q).delayElement(Duration.ofMillis(f.slowMillis())).flatMap((b) -> {
			if (f.loseAppends()) {
				return Mono.from(refuse(s));
			}
			this.appends.incrementAndGet();
			long offset = stream(q).append(Json.lenient(b));
			return Mono.from(f.loseAnswers() ? refuse(s) : Http.json(s, 200, Map.of("offset", offset)));
		});
	}

	private static Publisher<Void> refuse(HttpServerResponse s) {
		return Http.json(s, 503, Map.of("message", "the log is away"));
	}

	private Publisher<Void> read(HttpServerRequest q, HttpServerResponse s) {
		LogFaults f = this.faults;
		if (f.down()) {
			return refuse(s);
		}
		long from = number(q, "from", 0);
		int max = (int) number(q, "max", 100);
		long wait = number(q, "waitMillis", 0);
		return stream(q).await(from, wait)
			.delaySubscription(Duration.ofMillis(f.slowMillis()))
			.then(Mono.defer(() -> Mono.from(this.faults.down() ? refuse(s)
					: Http.json(s, 200, stream(q).page(from, max, this.retentionMillis)))));
	}

	private static long number(HttpServerRequest q, String name, long standard) {
		List<String> v = new QueryStringDecoder(q.uri()).parameters().get(name);
		return (v != null) ? Long.parseLong(v.get(0)) : standard;
	}

	@Override
	public void close() {
		this.server.disposeNow();
	}

	/** One stream. Safe for any thread. */
	private static final class Stream {

		private final TreeMap<Long, LogPage.Record> records = new TreeMap<>();

		private Sinks.One<Long> arrival = Sinks.one();

		private long next;

		private synchronized long append(JsonNode value) {
			long offset = this.next++;
			this.records.put(offset, new LogPage.Record(offset, System.currentTimeMillis(), value));
			this.arrival.tryEmitValue(offset);
			this.arrival = Sinks.one();
			return offset;
		}

		private synchronized Mono<Long> await(long from, long waitMillis) {
			if (this.next > from || waitMillis <= 0) {
				return Mono.just(this.next);
			}
			return this.arrival.asMono().timeout(Duration.ofMillis(waitMillis), Mono.just(from));
		}

		private synchronized LogPage page(long from, int max, long retentionMillis) {
			long oldest = System.currentTimeMillis() - retentionMillis;
			while (!this.records.isEmpty() && this.records.firstEntry().getValue().timeMillis() < oldest) {
				this.records.pollFirstEntry();
			}
			List<LogPage.Record> page = new ArrayList<>(
					this.records.tailMap(from, true).values().stream().limit(max).toList());
			long first = this.records.isEmpty() ? this.next : this.records.firstKey();
			long nextOffset = page.isEmpty() ? Math.max(from, first) : page.get(page.size() - 1).offset() + 1;
			return new LogPage(first, nextOffset, retentionMillis, page);
		}

	}

}
