package org.baobabspar.daemon;

import java.io.ByteArrayOutputStream;
import java.net.BindException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.unix.Errors;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.baobabspar.dispatch.ArrivalClock;
import org.baobabspar.dispatch.RequestArrival;
import org.baobabspar.guard.ConnectionGuard;
import org.baobabspar.guard.ConnectionRegistry;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.NettyPipeline;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;
import reactor.netty.resources.LoopResources;

/**
 * Utility methods for Reactor Netty's HTTP server. Stateless and safe for any thread.
 */
public final class Http {

	/** Largest body of a request, in bytes. */
	public static final int MAX_BODY_BYTES = 64 << 20;

	private static final String GUARD = "guard";

	/** Each connection may hold a buffer, so the largest one is small. */
	private static final int MAX_READ_BYTES = 16 << 10;

	private static final int INITIAL_READ_BYTES = 2 << 10;

	private static final int MIN_READ_BYTES = 256;

	private Http() {
	}

	/**
	 * Starts a server.
	 * @param host the local address
	 * @param port the port, 0 for any
	 * @param loops the event loops
	 * @param clients the connections of all clients of the process
	 * @param routes configures the routes
	 * @return the server
	 * @throws CodedException with {@link ResultCode#PORT_IN_USE}
	 */
	public static DisposableServer serve(String host, int port, LoopResources loops, ConnectionRegistry clients,
			Consumer<HttpServerRoutes> routes) {
		return bind(port, () -> server(host, port, loops, clients).route(routes).bindNow());
	}

	/**
	 * Starts a server that passes all requests to one handler.
	 * @param host the local address
	 * @param port the port, 0 for any
	 * @param loops the event loops
	 * @param clients the connections of all clients of the process
	 * @param handler handles a request
	 * @return the server
	 * @throws CodedException with {@link ResultCode#PORT_IN_USE}
	 */
	public static DisposableServer serve(String host, int port, LoopResources loops, ConnectionRegistry clients,
			BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler) {
		return bind(port, () -> server(host, port, loops, clients).handle(handler).bindNow());
	}

	/**
	 * Starts a server that passes all requests to one handler, together with the time of
	 * their arrival.
	 * @param host the local address
	 * @param port the port, 0 for any
	 * @param loops the event loops, with one loop for servers
	 * @param clients the connections of all clients of the process
	 * @param handler handles a request
	 * @return the server
	 * @throws CodedException with {@link ResultCode#PORT_IN_USE}
	 */
	public static DisposableServer serve(String host, int port, LoopResources loops, ConnectionRegistry clients,
			RequestHandler handler) {
		ArrivalClock arrivals = startArrivalClock(loops.onServer(LoopResources.DEFAULT_NATIVE).next());
		return bind(port,
				() -> server(host, port, loops, clients)
					.option(ChannelOption.RCVBUF_ALLOCATOR, acceptingAllConnections())
					.doOnChannelInit((observer, channel, remote) -> channel.pipeline()
						.addAfter(GUARD, "arrivals", new ArrivalRecorder(arrivals)))
					.handle((request, response) -> handler.handle(request, response, takeArrival(request)))
					.bindNow());
	}

	private static HttpServer server(String host, int port, LoopResources loops, ConnectionRegistry clients) {
		return HttpServer.create()
			.host(host)
			.port(port)
			.runOn(loops)
			.childOption(ChannelOption.RCVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES))
			.doOnChannelInit((observer, channel, remote) -> channel.pipeline()
				.addAfter(NettyPipeline.HttpCodec, GUARD, new ConnectionGuard(clients)));
	}

	private static ArrivalClock startArrivalClock(EventLoop loop) {
		ArrivalClock arrivals = new ArrivalClock(Control::monotonicMillis);
		loop.scheduleWithFixedDelay(arrivals::tick, ArrivalClock.TICK_MILLIS, ArrivalClock.TICK_MILLIS,
				TimeUnit.MILLISECONDS);
		return arrivals;
	}

	/**
	 * Lets a server accept all waiting connections in one iteration of its event loop, as
	 * {@link ArrivalClock} requires.
	 * @return the allocator of the server
	 */
	private static RecvByteBufAllocator acceptingAllConnections() {
		return new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(Integer.MAX_VALUE);
	}

	private static RequestArrival takeArrival(HttpServerRequest request) {
		AtomicReference<RequestArrival> arrival = new AtomicReference<>();
		request.withConnection((c) -> arrival.set(ArrivalRecorder.take(c.channel())));
		return arrival.get();
	}

	/**
	 * Binds a port and reports the port if it cannot be bound.
	 * @param port the port
	 * @param bind binds the port
	 * @param <T> the type of the bound server
	 * @return the bound server
	 * @throws CodedException with {@link ResultCode#PORT_IN_USE}
	 */
	public static <T> T bind(int port, Supplier<T> bind) {
		try {
			return bind.get();
		}
		catch (RuntimeException ex) {
			for (Throwable cause = ex; cause != null; cause = cause.getCause()) {
				if (cause instanceof BindException || cause instanceof Errors.NativeIoException) {
					throw new CodedException(ResultCode.PORT_IN_USE,
							"port " + port + " cannot be bound: " + cause.getMessage(), ex);
				}
			}
			throw ex;
		}
	}

	/**
	 * Reads the body of a request.
	 * @param request the request
	 * @return its bytes
	 */
	public static Mono<byte[]> body(HttpServerRequest request) {
		return body(request, MAX_BODY_BYTES);
	}

	/**
	 * Reads the body of a request.
	 * @param request the request
	 * @param maxBytes largest body
	 * @return its bytes, or an error with {@link ResultCode#PAYLOAD_TOO_LARGE}
	 */
	public static Mono<byte[]> body(HttpServerRequest request, int maxBytes) {
		if (announcedBytes(request) > maxBytes) {
			return Mono.error(tooLarge(maxBytes));
		}
		return request.receive()
			.asByteArray()
			.collect(ByteArrayOutputStream::new, (buffer, chunk) -> append(buffer, chunk, maxBytes))
			.map(ByteArrayOutputStream::toByteArray);
	}

	private static long announcedBytes(HttpServerRequest request) {
		try {
			return Long.parseLong(request.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH, "0"));
		}
		catch (NumberFormatException ex) {
			return 0;
		}
	}

	private static void append(ByteArrayOutputStream buffer, byte[] chunk, int maxBytes) {
		if (buffer.size() + chunk.length > maxBytes) {
			throw tooLarge(maxBytes);
		}
		buffer.writeBytes(chunk);
	}

	private static CodedException tooLarge(int maxBytes) {
		return new CodedException(ResultCode.PAYLOAD_TOO_LARGE, "the request body exceeds " + maxBytes + " bytes");
	}

	/**
	 * Waits until the event loop has read what has arrived by now. If that includes the
	 * end of the connection, the handling of the request is cancelled instead. A caller
	 * that has left is so noticed before its request has an effect, also if both arrive
	 * at the same time, after the network or this process was held up.
	 * @param request the request, which has been read
	 * @return completion
	 */
	public static Mono<Void> readArrived(HttpServerRequest request) {
		return Mono.create((sink) -> request.withConnection((c) -> {
			EventLoop loop = c.channel().eventLoop();
			// A task that is scheduled by a task waits until the loop has read again.
			loop.execute(() -> loop.schedule(() -> sink.success(), 0, TimeUnit.NANOSECONDS));
		}));
	}

	/**
	 * Sends a value as JSON.
	 * @param response the response
	 * @param status the HTTP status
	 * @param value the value
	 * @return completion
	 */
	public static Publisher<Void> json(HttpServerResponse response, int status, Object value) {
		return json(response, status, Json.bytes(value));
	}

	/**
	 * Sends serialized JSON.
	 * @param response the response
	 * @param status the HTTP status
	 * @param body the JSON
	 * @return completion
	 */
	public static Publisher<Void> json(HttpServerResponse response, int status, byte[] body) {
		return response.status(status).header("Content-Type", "application/json").sendByteArray(Mono.just(body));
	}

	/**
	 * Sends a text.
	 * @param response the response
	 * @param status the HTTP status
	 * @param body the text
	 * @return completion
	 */
	public static Publisher<Void> text(HttpServerResponse response, int status, byte[] body) {
		return response.status(status)
			.header("Content-Type", "text/plain; charset=utf-8")
			.sendByteArray(Mono.just(body));
	}

	/** Handles the requests of a server. Called on the event loop of the connection. */
	@FunctionalInterface
	public interface RequestHandler {

		/**
		 * Handles a request.
		 * @param request the request
		 * @param response its response
		 * @param arrival when the request arrived
		 * @return completion of the response
		 */
		Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response, RequestArrival arrival);

	}

}
