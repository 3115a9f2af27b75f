package org.baobabspar.wire;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.resolver.DefaultAddressResolverGroup;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.baobabspar.message.Message;
import org.baobabspar.message.MessageType;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.NettyInbound;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * Manages all TCP links of one process. A frame is a four-byte length followed by the
 * content defined by {@link FrameCodec}. A frame that is malformed, oversized or of an
 * unknown type closes its own link with a result code and does not affect other links.
 * <p>
 * Flow control: incoming frames are handed to the control thread with bounded prefetch,
 * so that a busy process stops reading from its sockets. A link whose peer does not read
 * is closed when the bytes buffered for it exceed the high-water mark. An incoming link
 * is unproven until its first message has arrived; until then frames are small, and the
 * oldest of too many such links is closed.
 * <p>
 * Invariant: for each link, the handler is notified of the opening, then of messages in
 * order, then of the end. Thread-safe.
 */
public final class Links implements AutoCloseable {

	private static final Logger LOG = LogManager.getLogger(Links.class);

	private static final int LENGTH_BYTES = 4;

	private static final String FRAME_HANDLER = "frame";

	private static final int PREFETCH_FRAMES = 128;

	private static final int LOW_WATER_BYTES = 1 << 20;

	private static final int HIGH_WATER_BYTES = 32 << 20;

	private static final int MAX_FRAMES_PER_FLUSH = 64;

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	/**
	 * Initial retry delay, short so that processes that start together connect quickly.
	 */
	static final long MIN_RETRY_MILLIS = 40;

	private static final double RETRY_GROWTH = 1.4;

	/**
	 * Bounds the time for which a restarted process waits for its peers. A process takes
	 * a second or more to start, and many start together after a loss of power.
	 */
	static final long MAX_RETRY_MILLIS = 200;

	private final FrameCodec codec = new FrameCodec();

	private final FrameMeter meter = new FrameMeter();

	private final Map<String, Channel> channels = new ConcurrentHashMap<>();

	private final Set<String> outgoing = ConcurrentHashMap.newKeySet();

	private final AtomicLong lastIncomingNumber = new AtomicLong();

	private final Scheduler control;

	private final LoopResources loops;

	private final LinkHandler handler;

	private final LinkLimits limits;

	/** Incoming links on which no message has arrived, the oldest first. */
	private final Set<String> unproven = Collections.synchronizedSet(new LinkedHashSet<>());

	private DisposableServer server;

	private volatile boolean closed;

	/**
	 * Creates the links of a process.
	 * @param control the scheduler on which the handler is called
	 * @param loops the event loops for network traffic
	 * @param handler receives the events of links
	 */
	public Links(Scheduler control, LoopResources loops, LinkHandler handler) {
		this(control, loops, handler, LinkLimits.TRUSTED);
	}

	/**
	 * Creates the links of a process that others than its peers can reach.
	 * @param control the scheduler on which the handler is called
	 * @param loops the event loops for network traffic
	 * @param handler receives the events of links
	 * @param limits what the other sides may send
	 */
	public Links(Scheduler control, LoopResources loops, LinkHandler handler, LinkLimits limits) {
		this.limits = limits;
		this.control = control;
		this.loops = loops;
		this.handler = handler;
	}

	public FrameMeter meter() {
		return this.meter;
	}

	/**
	 * Listens for incoming links.
	 * @param host the local address
	 * @param port the port, 0 for any
	 * @return the bound port
	 */
	public int listen(String host, int port) {
		this.server = TcpServer.create()
			.host(host)
			.port(port)
			.runOn(this.loops)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
			.doOnConnection((connection) -> addHandlers(connection, LinkLimits.MAX_FIRST_FRAME_BYTES))
			.handle((in, out) -> serveIncoming(in))
			.bindNow();
		return this.server.port();
	}

	private static WriteBufferWaterMark waterMark() {
		return new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES);
	}

	private Publisher<Void> serveIncoming(NettyInbound in) {
		String link = "in-" + this.lastIncomingNumber.incrementAndGet();
		Publisher<Void> serving = serve(link, in);
		synchronized (this.unproven) {
			this.unproven.add(link);
			if (this.unproven.size() > this.limits.maxUnprovenLinks()) {
				String oldest = this.unproven.iterator().next();
				this.unproven.remove(oldest);
				close(oldest);
			}
		}
		return serving;
	}

	/**
	 * Lets an incoming link send larger frames once its first message has arrived.
	 * @param link the name of the link
	 */
	private void prove(String link) {
		Channel channel = this.channels.get(link);
		if (this.unproven.remove(link) && channel != null) {
			channel.eventLoop().execute(() -> {
				if (channel.pipeline().get(FRAME_HANDLER) != null) {
					channel.pipeline().replace(FRAME_HANDLER, FRAME_HANDLER, frameDecoder(this.limits.maxFrameBytes()));
				}
			});
		}
	}

	private static LengthFieldBasedFrameDecoder frameDecoder(int maxBytes) {
		return new LengthFieldBasedFrameDecoder(maxBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
	}

	private void addHandlers(Connection connection, int maxFrameBytes) {
		connection.addHandlerLast("flush", new FlushConsolidationHandler(MAX_FRAMES_PER_FLUSH, true));
		connection.addHandlerLast(FRAME_HANDLER, frameDecoder(maxFrameBytes));
	}

	/**
	 * Opens a link and keeps it open, reconnecting whenever it fails.
	 * @param address the address as {@code host:port}, which is also the name of the link
	 * @throws CodedException with {@link ResultCode#SETTING_INVALID}
	 */
	public void connect(String address) {
		LinkAddress target = LinkAddress.of(address);
		if (this.outgoing.add(address)) {
			openLink(address, target, MIN_RETRY_MILLIS);
		}
	}

	/**
	 * Closes an outgoing link and does not open it again.
	 * @param address the address
	 */
	public void disconnect(String address) {
		this.outgoing.remove(address);
		close(address);
	}

	private void openLink(String address, LinkAddress target, long retryMillis) {
		if (this.closed || !this.outgoing.contains(address)) {
			return;
		}
		TcpClient.newConnection()
			.host(target.host())
			.port(target.port())
			.runOn(this.loops)
			.resolver(DefaultAddressResolverGroup.INSTANCE)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
			.doOnConnected((connection) -> addHandlers(connection, this.limits.maxFrameBytes()))
			.handle((in, out) -> serve(address, in))
			.connect()
			.flatMap(Connection::onDispose)
			.onErrorResume((ex) -> connectFailed(address, ex))
			.doFinally((s) -> retryLater(address, target, retryMillis))
			.subscribe();
	}

	private Mono<Void> connectFailed(String address, Throwable ex) {
		boolean refused = ex instanceof ConnectException && String.valueOf(ex.getMessage()).contains("refused");
		return Mono.<Void>fromRunnable(() -> this.handler.linkDown(address, refused)).subscribeOn(this.control);
	}

	private void retryLater(String address, LinkAddress target, long retryMillis) {
		Mono.delay(Duration.ofMillis(retryMillis))
			.subscribe((t) -> openLink(address, target, nextRetryMillis(retryMillis)));
	}

	static long nextRetryMillis(long retryMillis) {
		return Math.min(MAX_RETRY_MILLIS, Math.round(RETRY_GROWTH * retryMillis));
	}

	/**
	 * Reads a link until it ends. The read has a subscription of its own, because the
	 * subscription of the connection is cancelled when the connection closes and would
	 * drop the frames that arrived just before.
	 * @param link the name of the link
	 * @param in the inbound side of the connection
	 * @return a publisher that never completes, so that the connection stays open until
	 * one side closes it
	 */
	private Publisher<Void> serve(String link, NettyInbound in) {
		in.withConnection((c) -> this.channels.put(link, c.channel()));
		Mono<Void> up = Mono.<Void>fromRunnable(() -> this.handler.linkUp(link)).subscribeOn(this.control);
		Mono<Void> read = in.receive()
			.asByteArray()
			.publishOn(this.control, PREFETCH_FRAMES)
			.doOnNext((frame) -> decodeFrame(link, frame))
			.then()
			.onErrorResume((ex) -> logFailure(link, ex));
		Mono<Void> down = Mono.<Void>fromRunnable(() -> linkEnded(link)).subscribeOn(this.control);
		up.then(read).then(down).onErrorResume((ex) -> logFailure(link, ex)).subscribe();
		return Mono.never();
	}

	private void decodeFrame(String link, byte[] frame) {
		Message message = this.codec.decode(frame);
		this.meter.received(MessageType.of(message), frame.length + LENGTH_BYTES);
		if (!this.unproven.isEmpty()) {
			prove(link);
		}
		this.handler.receive(link, message);
	}

	private Mono<Void> logFailure(String link, Throwable ex) {
		if (this.closed) {
			return Mono.empty();
		}
		if (ex instanceof CodedException coded) {
			LOG.warn("links: closed {} with code {}: {}.", link, coded.code().number(), coded.getMessage());
		}
		else if (ex instanceof TooLongFrameException) {
			LOG.warn("links: closed {} with code {}: {}.", link, ResultCode.FRAME_TOO_LARGE.number(),
					ResultCode.FRAME_TOO_LARGE.message());
		}
		else if (!(ex instanceof IOException)) {
			LOG.error("links: closed {} after an internal error.", link, ex);
		}
		return Mono.empty();
	}

	private void linkEnded(String link) {
		close(link);
		this.channels.remove(link);
		this.unproven.remove(link);
		this.handler.linkDown(link, false);
	}

	/**
	 * Sends a message, or drops it if the link is closed.
	 * @param link the name of the link
	 * @param message the message
	 */
	public void send(String link, Message message) {
		Channel channel = this.channels.get(link);
		if (channel == null || !channel.isActive()) {
			return;
		}
		if (!channel.isWritable()) {
			LOG.warn("links: closed {} with code {}: {}.", link, ResultCode.SEND_OVERFLOW.number(),
					ResultCode.SEND_OVERFLOW.message());
			channel.close();
			return;
		}
		byte[] frame = this.codec.encode(message);
		ByteBuf length = Unpooled.buffer(LENGTH_BYTES).writeInt(frame.length);
		this.meter.sent(MessageType.of(message), frame.length + LENGTH_BYTES);
		channel.writeAndFlush(Unpooled.wrappedBuffer(length, Unpooled.wrappedBuffer(frame)), channel.voidPromise());
	}

	/**
	 * Closes a link. An outgoing link is opened again.
	 * @param link the name of the link
	 */
	public void close(String link) {
		Channel channel = this.channels.get(link);
		if (channel != null) {
			channel.close();
		}
	}

	/** Closes all links and stops listening. */
	@Override
	public void close() {
		this.closed = true;
		this.outgoing.clear();
		if (this.server != null) {
			this.server.disposeNow();
		}
		this.channels.values().forEach(Channel::close);
	}

}
