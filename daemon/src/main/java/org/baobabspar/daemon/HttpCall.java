package org.baobabspar.daemon;

import java.io.IOException;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Blocking HTTP client of an entry, for the command line. Immutable and safe for any
 * thread.
 */
public final class HttpCall {

	private static final long TIMEOUT_MILLIS = 650_000;

	private final String address;

	private final HttpClient http;

	/**
	 * Creates a client.
	 * @param address address of an entry as {@code host:port}
	 */
	public HttpCall(String address) {
		this.address = address;
		this.http = HttpClient.create().baseUrl("http://" + address).disableRetry(true);
	}

	/**
	 * Gets a JSON value.
	 * @param path the path
	 * @return the value
	 * @throws CodedException with {@link ResultCode#UNREACHABLE}
	 */
	public JsonNode get(String path) {
		return json(this.http.get().uri(path).responseContent().aggregate().asByteArray());
	}

	/**
	 * Posts a JSON value.
	 * @param path the path
	 * @param body the value
	 * @return the response body, whatever the HTTP status
	 * @throws CodedException with {@link ResultCode#UNREACHABLE}
	 */
	public JsonNode post(String path, byte[] body) {
		return json(this.http.post()
			.uri(path)
			.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
			.responseContent()
			.aggregate()
			.asByteArray());
	}

	private JsonNode json(Mono<byte[]> call) {
		try {
			return Json.MAPPER.readTree(call.block(Duration.ofMillis(TIMEOUT_MILLIS)));
		}
		catch (IOException | RuntimeException ex) {
			throw new CodedException(ResultCode.UNREACHABLE, this.address + " does not respond: " + ex.getMessage(),
					ex);
		}
	}

}
