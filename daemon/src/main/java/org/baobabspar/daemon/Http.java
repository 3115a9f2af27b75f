package org.baobabspar.daemon;

import java.io.ByteArrayOutputStream;
import java.net.BindException;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.unix.Errors;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;
import reactor.netty.resources.LoopResources;

/**
 * Small helpers around Reactor Netty's HTTP server. Stateless and safe for any thread.
 */
public final class Http {

	/** Largest body of a request, in bytes. */
	public static final int MAX_BODY_BYTES = 64 << 20;

	private Http() {
	}

	/**
	 * Start a server.
	 * @param host the local address
	 * @param port the port, 0 for any
	 * @param loops the event loops
	 * @param routes what it serves
	 * @return the server
	 * @throws CodedException with {@link ResultCode#PORT_IN_USE}
	 */
	public static DisposableServer serve(String host, int port, LoopResources loops,
			Consumer<HttpServerRoutes> routes) {
		return bind(port, () -> HttpServer.create().host(host).port(port).runOn(loops).route(routes).bindNow());
	}

	/**
	 * Start a server whose requests all have one handler.
	 * @param host the local address
	 * @param port the port, 0 for any
	 * @param loops the event loops
	 * @param handler answers a request
	 * @return the server
	 * @throws CodedException with {@link ResultCode#PORT_IN_USE}
	 */
	public static DisposableServer serve(String host, int port, LoopResources loops,
			BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler) {
		return bind(port, () -> HttpServer.create().host(host).port(port).runOn(loops).handle(handler).bindNow());
	}

	/**
	 * Bind a port and name the fault if it is taken.
	 * @param port the port
	 * @param bind what binds it
	 * @param <T> the type of what is bound
	 * @return what was bound
	 */
	public static <T> T bind(int port, Supplier<T> bind) {
		try {
			return bind.get();
		}
		catch (RuntimeException ex) {
			for (Throwable t = ex; t != null; t = t.getCause()) {
				if (t instanceof BindException || t instanceof Errors.NativeIoException) {
					throw new CodedException(ResultCode.PORT_IN_USE,
							"port " + port + " cannot be bound: " + t.getMessage(), ex);
				}
			}
			throw ex;
		}
	}

	/**
	 * Read a body.
	 * @param r the request
	 * @return its bytes
	 */
	public static Mono<byte[]> body(HttpServerRequest r) {
		return r.receive()
			.asByteArray()
			.collect(ByteArrayOutputStream::new, Http::append)
			.map(ByteArrayOutputStream::toByteArray);
	}

	private static void append(ByteArrayOutputStream b, byte[] part) {
		if (b.size() + part.length > MAX_BODY_BYTES) {
			throw new CodedException(ResultCode.PAYLOAD_TOO_LARGE, "the body passes " + MAX_BODY_BYTES + " bytes");
		}
		b.writeBytes(part);
	}

	/**
	 * Send a JSON value.
	 * @param r the response
	 * @param status the HTTP status
	 * @param value the value
	 * @return completion
	 */
	public static Publisher<Void> json(HttpServerResponse r, int status, Object value) {
		return json(r, status, Json.bytes(value));
	}

	/**
	 * Send JSON that is written already.
	 * @param r the response
	 * @param status the status
	 * @param body the JSON
	 * @return when it is sent
	 */
	public static Publisher<Void> json(HttpServerResponse r, int status, byte[] body) {
		return r.status(status).header("Content-Type", "application/json").sendByteArray(Mono.just(body));
	}

	/**
	 * Send a text.
	 * @param r the response
	 * @param status the HTTP status
	 * @param body the text
	 * @return completion
	 */
	public static Publisher<Void> text(HttpServerResponse r, int status, byte[] body) {
		return r.status(status).header("Content-Type", "text/plain; charset=utf-8").sendByteArray(Mono.just(body));
	}

}
