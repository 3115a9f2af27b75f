package org.baobabspar.daemon;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.LoopResources;

/**
 * Client of the platform's append-only log. Every call ends within its bound with a value
 * or a {@link CodedException} with {@link ResultCode#LOG_UNAVAILABLE}; after a failed
 * append the record may or may not be on the log. Immutable and safe for any thread.
 */
public final class LogClient {

	private static final int MAX_PAGE = 500;

	private static final long MARGIN_MILLIS = 5_000;

	private final HttpClient http;

	/**
	 * Create a client.
	 * @param address address of the log as {@code host:port}
	 */
	public LogClient(String address) {
		this(address, HttpClient.create());
	}

	/**
	 * Create a client on event loops of its owner.
	 * @param address address of the log as {@code host:port}
	 * @param loops the event loops
	 */
	public LogClient(String address, LoopResources loops) {
		this(address, HttpClient.create().runOn(loops));
	}

	private LogClient(String address, HttpClient client) {
		this.http = client.baseUrl("http://" + address).disableRetry(true);
	}

	/**
	 * Append a record.
	 * @param stream the stream
	 * @param value the record
	 * @return its offset
	 */
	public Mono<Long> append(String stream, Object value) {
		return this.http.post()
			.uri("/streams/" + stream + "/records")
			.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(Json.bytes(value))))
			.responseSingle((r, body) -> body.asByteArray().map((b) -> checked(r.status().code(), b)))
			.map((n) -> n.get("offset").asLong())
			.timeout(Duration.ofMillis(MARGIN_MILLIS))
			.onErrorMap(LogClient::unavailable);
	}

	/**
	 * Read records.
	 * @param stream the stream
	 * @param from the lowest offset wanted
	 * @param waitMillis how long to wait for a record if there is none
	 * @return a page, empty if none came
	 */
	public Mono<LogPage> read(String stream, long from, long waitMillis) {
		return this.http.get()
			.uri("/streams/" + stream + "/records?from=" + from + "&max=" + MAX_PAGE + "&waitMillis=" + waitMillis)
			.responseSingle((r, body) -> body.asByteArray().map((b) -> checked(r.status().code(), b)))
			.map(LogClient::page)
			.timeout(Duration.ofMillis(waitMillis + MARGIN_MILLIS))
			.onErrorMap(LogClient::unavailable);
	}

	/**
	 * Read all that a stream keeps. Blocks, for the command line.
	 * @param stream the stream
	 * @return its records in order
	 */
	public List<LogPage.Record> readAll(String stream) {
		List<LogPage.Record> r = new ArrayList<>();
		LogPage p = read(stream, 0, 0).block();
		while (!p.records().isEmpty()) {
			r.addAll(p.records());
			p = read(stream, p.next(), 0).block();
		}
		return r;
	}

	private static LogPage page(JsonNode n) {
		return Json.MAPPER.convertValue(n, LogPage.class);
	}

	private static JsonNode checked(int status, byte[] body) {
		if (status != 200) {
			throw new CodedException(ResultCode.LOG_UNAVAILABLE, "the log answered with status " + status);
		}
		try {
			return Json.MAPPER.readTree(body);
		}
		catch (IOException ex) {
			throw new CodedException(ResultCode.LOG_UNAVAILABLE, "the log's answer is not readable", ex);
		}
	}

	private static Throwable unavailable(Throwable ex) {
		return (ex instanceof CodedException) ? ex
				: new CodedException(ResultCode.LOG_UNAVAILABLE, "the log does not answer: " + ex.getMessage(), ex);
	}

}
