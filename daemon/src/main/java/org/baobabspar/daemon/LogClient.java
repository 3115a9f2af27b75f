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
 * Client of the platform's append-only log. Every call completes within its timeout,
 * either with a value or with a {@link CodedException} of code
 * {@link ResultCode#LOG_UNAVAILABLE}. After a failed append the record may or may not be
 * on the log. Immutable and safe for any thread.
 */
public final class LogClient {

	private static final int MAX_PAGE_RECORDS = 500;

	private static final long TIMEOUT_MARGIN_MILLIS = 5_000;

	private final HttpClient http;

	/**
	 * Creates a client.
	 * @param address address of the log as {@code host:port}
	 */
	public LogClient(String address) {
		this(address, HttpClient.create());
	}

	/**
	 * Creates a client that runs on the event loops of its owner.
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
	 * Appends a record.
	 * @param stream the stream
	 * @param value the record
	 * @return its offset
	 */
	public Mono<Long> append(String stream, Object value) {
		return this.http.post()
			.uri("/streams/" + stream + "/records")
			.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(Json.bytes(value))))
			.responseSingle((response, body) -> body.asByteArray()
				.map((bytes) -> parseResponse(response.status().code(), bytes)))
			.map((json) -> json.get("offset").asLong())
			.timeout(Duration.ofMillis(TIMEOUT_MARGIN_MILLIS))
			.onErrorMap(LogClient::toCodedException);
	}

	/**
	 * Reads records.
	 * @param stream the stream
	 * @param from the lowest offset to return
	 * @param waitMillis how long to wait for a record if there is none
	 * @return a page, empty if no record arrived in time
	 */
	public Mono<LogPage> read(String stream, long from, long waitMillis) {
		return this.http.get()
			.uri("/streams/" + stream + "/records?from=" + from + "&max=" + MAX_PAGE_RECORDS + "&waitMillis="
					+ waitMillis)
			.responseSingle((response, body) -> body.asByteArray()
				.map((bytes) -> parseResponse(response.status().code(), bytes)))
			.map(LogClient::toPage)
			.timeout(Duration.ofMillis(waitMillis + TIMEOUT_MARGIN_MILLIS))
			.onErrorMap(LogClient::toCodedException);
	}

	/**
	 * Reads all records that a stream retains. Blocks; meant for the command line.
	 * @param stream the stream
	 * @return its records in order
	 */
	public List<LogPage.Record> readAll(String stream) {
		List<LogPage.Record> records = new ArrayList<>();
		LogPage page = read(stream, 0, 0).block();
		while (!page.records().isEmpty()) {
			records.addAll(page.records());
			page = read(stream, page.next(), 0).block();
		}
		return records;
	}

	private static LogPage toPage(JsonNode json) {
		return Json.MAPPER.convertValue(json, LogPage.class);
	}

	private static JsonNode parseResponse(int status, byte[] body) {
		if (status != 200) {
			throw new CodedException(ResultCode.LOG_UNAVAILABLE,
					"the platform log responded with HTTP status " + status);
		}
		try {
			return Json.MAPPER.readTree(body);
		}
		catch (IOException ex) {
			throw new CodedException(ResultCode.LOG_UNAVAILABLE, "the response of the platform log is not valid JSON",
					ex);
		}
	}

	private static Throwable toCodedException(Throwable ex) {
		return (ex instanceof CodedException) ? ex : new CodedException(ResultCode.LOG_UNAVAILABLE,
				"the platform log does not respond: " + ex.getMessage(), ex);
	}

}
