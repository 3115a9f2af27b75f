package org.baobabspar.wire;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.netty.resources.LoopResources;

/**
 * A small pool of persistent connections to one HTTP server, each of which carries one
 * call at a time. It is designed for many short calls by a process that restarts often:
 * the general-purpose client of Reactor Netty rebuilds its configuration for each call,
 * which accounted for most of the CPU time of an agent.
 * <p>
 * Example: with two connections and three calls, the third call waits until one of the
 * others is answered, up to the acquire timeout. A call that times out closes its
 * connection, because a late response would be taken for the response to the next call.
 * <p>
 * Invariants: a connection is either idle or carries one call; a call completes exactly
 * once; a call that fails with {@link UnsentException} was never sent. Thread-safe: state
 * is confined to one event loop.
 */
public final class HttpConnectionPool {

	/** Maximum time that a call waits for a free connection. */
	private static final long ACQUIRE_TIMEOUT_MILLIS = 150;

	private static final int MAX_RESPONSE_BYTES = 32 << 20;

	private final String address;

	private final int maxConnections;

	private final EventLoop loop;

	private final Bootstrap bootstrap;

	/** Most recently used first, so that surplus connections stay idle. */
	private final Deque<Connection> idle = new ArrayDeque<>();

	private final Deque<Call> waiting = new ArrayDeque<>();

	private int open;

	/**
	 * Creates a pool. No connection is opened before the first call.
	 * @param host the address of the server
	 * @param port the port of the server
	 * @param maxConnections the maximum number of connections
	 * @param connectMillis the timeout for opening a connection
	 * @param loops the event loops for network traffic
	 */
	public HttpConnectionPool(String host, int port, int maxConnections, int connectMillis, LoopResources loops) {
		this.address = host + ":" + port;
		this.maxConnections = maxConnections;
		EventLoopGroup group = loops.onClient(true);
		this.loop = group.next();
		this.bootstrap = new Bootstrap().group(this.loop)
			.channelFactory(() -> loops.onChannel(SocketChannel.class, group))
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
			.option(ChannelOption.TCP_NODELAY, true)
			.remoteAddress(new InetSocketAddress(host, port))
			.handler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel newChannel) {
					newChannel.pipeline()
						.addLast(new HttpClientCodec())
						.addLast(new HttpObjectAggregator(MAX_RESPONSE_BYTES))
						.addLast(new Connection());
				}

			});
	}

	/**
	 * Makes a call.
	 * @param method the HTTP method
	 * @param path the path and query
	 * @param headers headers other than {@code Host} and {@code Content-Length}
	 * @param body the request body, empty for none
	 * @param timeoutMillis the timeout for the response once the request is sent
	 * @return the response, whatever its status, or an {@link IOException} or
	 * {@link TimeoutException}
	 */
	public Mono<HttpCallResponse> call(HttpMethod method, String path, Map<String, String> headers, byte[] body,
			long timeoutMillis) {
		return Mono.create((sink) -> {
			FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path,
					Unpooled.wrappedBuffer(body));
			request.headers().set(HttpHeaderNames.HOST, this.address);
			request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
			headers.forEach(request.headers()::set);
			Call call = new Call(request, timeoutMillis, sink);
			this.loop.execute(() -> assign(call));
		});
	}

	private void assign(Call call) {
		Connection free = this.idle.pollFirst();
		if (free != null) {
			free.send(call);
		}
		else if (this.open < this.maxConnections) {
			connect(call);
		}
		else {
			this.waiting.add(call);
			call.timer = this.loop.schedule(() -> expire(call), ACQUIRE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void expire(Call call) {
		this.waiting.remove(call);
		call.fail(new UnsentException("no connection free in " + ACQUIRE_TIMEOUT_MILLIS + " ms", null));
	}

	private void connect(Call call) {
		this.open++;
		this.bootstrap.connect().addListener((ChannelFuture f) -> {
			if (f.isSuccess()) {
				f.channel().pipeline().get(Connection.class).send(call);
			}
			else {
				this.open--;
				call.fail(new UnsentException("no connection", f.cause()));
				assignNextWaiting();
			}
		});
	}

	private void assignNextWaiting() {
		Call next = this.waiting.poll();
		if (next != null) {
			next.timer.cancel(false);
			assign(next);
		}
	}

	/**
	 * A connection and the call that it carries.
	 */
	private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

		private Channel channel;

		private Call call;

		@Override
		public void handlerAdded(ChannelHandlerContext context) {
			this.channel = context.channel();
		}

		private void send(Call newCall) {
			this.call = newCall;
			newCall.timer = HttpConnectionPool.this.loop.schedule(this::expire, newCall.timeoutMillis,
					TimeUnit.MILLISECONDS);
			this.channel.writeAndFlush(newCall.request, this.channel.voidPromise());
		}

		/**
		 * Fails the call because of a timeout and closes all idle connections. When a
		 * server becomes unreachable, all connections to it stop responding together, and
		 * later calls must not time out on the idle ones one by one.
		 */
		private void expire() {
			HttpConnectionPool.this.idle.forEach((other) -> other.channel.close());
			HttpConnectionPool.this.idle.clear();
			closeWithFailure(new TimeoutException("no answer in " + this.call.timeoutMillis + " ms"));
		}

		/**
		 * Closes the connection and fails its call, if there is one.
		 * @param cause the cause of the failure
		 */
		private void closeWithFailure(Exception cause) {
			Call currentCall = this.call;
			this.call = null;
			this.channel.close();
			if (currentCall != null) {
				currentCall.timer.cancel(false);
				currentCall.fail(cause);
			}
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
			Call currentCall = this.call;
			if (currentCall == null || response.decoderResult().isFailure()) {
				HttpConnectionPool.this.idle.remove(this);
				closeWithFailure(new IOException("answer is not HTTP", response.decoderResult().cause()));
				return;
			}
			this.call = null;
			currentCall.timer.cancel(false);
			boolean keepAlive = HttpUtil.isKeepAlive(response);
			HttpCallResponse result = new HttpCallResponse(response.status().code(),
					ByteBufUtil.getBytes(response.content()));
			if (keepAlive) {
				HttpConnectionPool.this.idle.addFirst(this);
			}
			else {
				this.channel.close();
			}
			currentCall.sink.success(result);
			assignNextWaiting();
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			HttpConnectionPool.this.open--;
			HttpConnectionPool.this.idle.remove(this);
			closeWithFailure(new ClosedChannelException());
			assignNextWaiting();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			HttpConnectionPool.this.idle.remove(this);
			closeWithFailure((cause instanceof IOException ex) ? ex : new IOException(cause));
		}

	}

	/**
	 * A call that has not been answered yet.
	 */
	private static final class Call {

		private final FullHttpRequest request;

		private final long timeoutMillis;

		private final MonoSink<HttpCallResponse> sink;

		/** The timeout for acquiring a connection, then the timeout for the response. */
		private Future<?> timer;

		Call(FullHttpRequest request, long timeoutMillis, MonoSink<HttpCallResponse> sink) {
			this.request = request;
			this.timeoutMillis = timeoutMillis;
			this.sink = sink;
		}

		void fail(Exception cause) {
			this.sink.error(cause);
		}

	}

	/**
	 * Indicates that a call was not sent, so that the server has not received it.
	 */
	public static final class UnsentException extends IOException {

		private static final long serialVersionUID = 1L;

		UnsentException(String message, Throwable cause) {
			super(message, cause);
		}

		/**
		 * Returns whether the server accepted no connection, either because it refused it
		 * or because the attempt timed out.
		 * @return {@code false} if all connections were busy
		 */
		public boolean connectFailed() {
			return getCause() instanceof ConnectException;
		}

	}

}
