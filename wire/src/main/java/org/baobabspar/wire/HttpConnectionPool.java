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
 * A few kept connections to one HTTP server, each with one call at a time. Made for many
 * short calls of a process that starts often: the general client of Reactor Netty builds
 * its configuration anew for each call, which is most of an agent's processor time.
 * <p>
 * Example: with two connections and three calls, the third waits until one of the others
 * has its answer, for as long as a call may wait; a call that gets no answer in its time
 * closes its connection, since a late answer would be taken for the next call's.
 * <p>
 * Invariants: a connection is idle or has one call; a call ends exactly once; one that
 * fails with {@link UnsentException} was never sent. State is confined to one event loop;
 * methods may be called from any thread.
 */
public final class HttpConnectionPool {

	/** How long a call may wait for a free connection. */
	private static final long ACQUIRE_MILLIS = 150;

	private static final int MAX_ANSWER_BYTES = 32 << 20;

	private final String address;

	private final int maxConnections;

	private final EventLoop loop;

	private final Bootstrap bootstrap;

	/** The one used last comes first, so that those not needed stay idle. */
	private final Deque<Connection> idle = new ArrayDeque<>();

	private final Deque<Call> waiting = new ArrayDeque<>();

	private int open;

	/**
	 * Create the connections. None is opened before the first call.
	 * @param host address of the server
	 * @param port its port
	 * @param maxConnections most connections
	 * @param connectMillis how long a connection may take to open
	 * @param loops the event loops for traffic
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
				protected void initChannel(Channel ch) {
					ch.pipeline()
						.addLast(new HttpClientCodec())
						.addLast(new HttpObjectAggregator(MAX_ANSWER_BYTES))
						.addLast(new Connection());
				}

			});
	}

	/**
	 * Make a call.
	 * @param method the method
	 * @param path path and query
	 * @param headers headers beside host and length
	 * @param body the body, empty for none
	 * @param timeoutMillis how long the answer may take once the call is sent
	 * @return the answer, whatever its status, or an {@link IOException} or
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
			Call c = new Call(request, timeoutMillis, sink);
			this.loop.execute(() -> begin(c));
		});
	}

	private void begin(Call c) {
		Connection free = this.idle.pollFirst();
		if (free != null) {
			free.send(c);
		}
		else if (this.open < this.maxConnections) {
			connect(c);
		}
		else {
			this.waiting.add(c);
			c.timer = this.loop.schedule(() -> expire(c), ACQUIRE_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void expire(Call c) {
		this.waiting.remove(c);
		c.fail(new UnsentException("no connection free in " + ACQUIRE_MILLIS + " ms", null));
	}

	private void connect(Call c) {
		this.open++;
		this.bootstrap.connect().addListener((ChannelFuture f) -> {
			if (f.isSuccess()) {
				f.channel().pipeline().get(Connection.class).send(c);
			}
			else {
				this.open--;
				c.fail(new UnsentException("no connection", f.cause()));
				beginNext();
			}
		});
	}

	private void beginNext() {
		Call next = this.waiting.poll();
		if (next != null) {
			next.timer.cancel(false);
			begin(next);
		}
	}

	/**
	 * One connection and its call.
	 */
	private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

		private Channel channel;

		private Call call;

		@Override
		public void handlerAdded(ChannelHandlerContext context) {
			this.channel = context.channel();
		}

		private void send(Call c) {
			this.call = c;
			c.timer = HttpConnectionPool.this.loop.schedule(this::expire, c.timeoutMillis, TimeUnit.MILLISECONDS);
			this.channel.writeAndFlush(c.request, this.channel.voidPromise());
		}

		/**
		 * Give an answer up. Connections go silent together, so that the idle ones are
		 * not tried one after the other.
		 */
		private void expire() {
			HttpConnectionPool.this.idle.forEach((other) -> other.channel.close());
			HttpConnectionPool.this.idle.clear();
			end(new TimeoutException("no answer in " + this.call.timeoutMillis + " ms"));
		}

		/**
		 * End the call without an answer, and the connection with it.
		 * @param cause why
		 */
		private void end(Exception cause) {
			Call c = this.call;
			this.call = null;
			this.channel.close();
			if (c != null) {
				c.timer.cancel(false);
				c.fail(cause);
			}
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpResponse r) {
			Call c = this.call;
			if (c == null || r.decoderResult().isFailure()) {
				HttpConnectionPool.this.idle.remove(this);
				end(new IOException("answer is not HTTP", r.decoderResult().cause()));
				return;
			}
			this.call = null;
			c.timer.cancel(false);
			boolean kept = HttpUtil.isKeepAlive(r);
			HttpCallResponse answer = new HttpCallResponse(r.status().code(), ByteBufUtil.getBytes(r.content()));
			if (kept) {
				HttpConnectionPool.this.idle.addFirst(this);
			}
			else {
				this.channel.close();
			}
			c.sink.success(answer);
			beginNext();
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			HttpConnectionPool.this.open--;
			HttpConnectionPool.this.idle.remove(this);
			end(new ClosedChannelException());
			beginNext();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			HttpConnectionPool.this.idle.remove(this);
			end((cause instanceof IOException ex) ? ex : new IOException(cause));
		}

	}

	/**
	 * A call until it has its answer.
	 */
	private static final class Call {

		private final FullHttpRequest request;

		private final long timeoutMillis;

		private final MonoSink<HttpCallResponse> sink;

		/** Ends the wait for a connection, then the wait for the answer. */
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
	 * Tells that a call was not sent, so that the server has not seen it.
	 */
	public static final class UnsentException extends IOException {

		private static final long serialVersionUID = 1L;

		UnsentException(String message, Throwable cause) {
			super(message, cause);
		}

		/**
		 * Tell whether the server took no connection.
		 * @return {@code false} if all connections were busy
		 */
		public boolean connectionRefused() {
			return getCause() instanceof ConnectException;
		}

	}

}
