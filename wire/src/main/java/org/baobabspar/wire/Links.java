package org.baobabspar.wire;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
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
 * All TCP links of one process. Frames are a four-byte length and the content of
 * {@link FrameCodec}. A frame that is broken, too large or of an unknown type closes its
 * link with a numbered code and touches no other link. Incoming frames are handed to the
 * control thread with bounded prefetch, so that a busy process stops reading; a peer that
 * does not read is cut off once the bytes waiting for it pass their bound.
 * <p>
 * Invariant: for each link the handler sees up, then messages in order, then down.
 * Methods may be called from any thread.
 */
public final class Links implements AutoCloseable {

	private static final Logger LOG = LogManager.getLogger(Links.class);

	private static final int LENGTH_BYTES = 4;

	private static final int PREFETCH_FRAMES = 128;

	private static final int LOW_WATER_BYTES = 1 << 20;

	private static final int HIGH_WATER_BYTES = 32 << 20;

	private static final int FLUSH_FRAMES = 64;

	private static final int CONNECT_MILLIS = 1_000;

	/** Processes that start together find each other within a few of these. */
	private static final long MIN_RETRY_MILLIS = 40;

	private static final double RETRY_GROWTH = 1.4;

	private static final long MAX_RETRY_MILLIS = 1_000;

	private final FrameCodec codec = new FrameCodec();

	private final FrameMeter meter = new FrameMeter();

	private final Map<String, Channel> channels = new ConcurrentHashMap<>();

	private final Set<String> dialled = ConcurrentHashMap.newKeySet();

	private final AtomicLong lastIncoming = new AtomicLong();

	private final Scheduler control;

	private final LoopResources loops;

	private final LinkHandler handler;

	private DisposableServer server;

	private volatile boolean closed;

	/**
	 * Create the links of a process.
	 * @param control runs the handler
	 * @param loops the event loops for traffic
	 * @param handler takes the events
	 */
	public Links(Scheduler control, LoopResources loops, LinkHandler handler) {
		this.control = control;
		this.loops = loops;
		this.handler = handler;
	}

	public FrameMeter meter() {
		return this.meter;
	}

	/**
	 * Listen for links.
	 * @param host the local address
	 * @param port the port, 0 for any
	 * @return the port
	 */
	public int listen(String host, int port) {
		this.server = TcpServer.create()
			.host(host)
			.port(port)
			.runOn(this.loops)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
			.doOnConnection(this::prepare)
			.handle((in, out) -> serve("in-" + this.lastIncoming.incrementAndGet(), in))
			.bindNow();
		return this.server.port();
	}

	private static WriteBufferWaterMark waterMark() {
		return new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES);
	}

	private void prepare(Connection c) {
		c.addHandlerLast("flush", new FlushConsolidationHandler(FLUSH_FRAMES, true));
		c.addHandlerLast("frame",
				new LengthFieldBasedFrameDecoder(FrameCodec.MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
	}

	/**
	 * Keep a link open, opening it again whenever it fails.
	 * @param address the address as {@code host:port}, which names the link
	 */
	public void connect(String address) {
		if (this.dialled.add(address)) {
			open(address, MIN_RETRY_MILLIS);
		}
	}

	/**
	 * Close a dialled link and do not open it again.
	 * @param address the address
	 */
	public void disconnect(String address) {
		this.dialled.remove(address);
		close(address);
	}

	private void open(String address, long retryMillis) {
		if (this.closed || !this.dialled.contains(address)) {
			return;
		}
		int colon = address.lastIndexOf(':');
		TcpClient.newConnection()
			.host(address.substring(0, colon))
			.port(Integer.parseInt(address.substring(colon + 1)))
			.runOn(this.loops)
			.resolver(DefaultAddressResolverGroup.INSTANCE)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
			.doOnConnected(this::prepare)
			.handle((in, out) -> serve(address, in))
			.connect()
			.flatMap(Connection::onDispose)
			.onErrorResume((ex) -> failed(address, ex))
			.doFinally((s) -> retry(address, retryMillis))
			.subscribe();
	}

	private Mono<Void> failed(String address, Throwable ex) {
		boolean refused = ex instanceof ConnectException && String.valueOf(ex.getMessage()).contains("refused");
		return Mono.<Void>fromRunnable(() -> this.handler.linkDown(address, refused)).subscribeOn(this.control);
	}

	private void retry(String address, long retryMillis) {
		long next = Math.min(MAX_RETRY_MILLIS, Math.round(RETRY_GROWTH * retryMillis));
		Mono.delay(Duration.ofMillis(retryMillis)).subscribe((t) -> open(address, next));
	}

	/**
	 * Read a link to its end. The reading is not tied to the connection's own
	 * subscription, which ends with the connection and would drop the frames that came
	 * just before.
	 * @param link the link
	 * @param in its incoming side
	 * @return never ends, so that the connection stays open until one side closes it
	 */
	private Publisher<Void> serve(String link, NettyInbound in) {
		in.withConnection((c) -> this.channels.put(link, c.channel()));
		Mono<Void> up = Mono.<Void>fromRunnable(() -> this.handler.linkUp(link)).subscribeOn(this.control);
		Mono<Void> read = in.receive()
			.asByteArray()
			.publishOn(this.control, PREFETCH_FRAMES)
			.doOnNext((b) -> take(link, b))
			.then()
			.onErrorResume((ex) -> broken(link, ex));
		Mono<Void> down = Mono.<Void>fromRunnable(() -> gone(link)).subscribeOn(this.control);
		up.then(read).then(down).onErrorResume((ex) -> broken(link, ex)).subscribe();
		return Mono.never();
	}

	private void take(String link, byte[] frame) {
		Message m = this.codec.decode(frame);
		this.meter.received(MessageType.of(m), frame.length + LENGTH_BYTES);
		this.handler.receive(link, m);
	}

	private Mono<Void> broken(String link, Throwable ex) {
		if (this.closed) {
			return Mono.empty();
		}
		if (ex instanceof CodedException c) {
			LOG.warn("links: closed {} with code {}: {}.", link, c.code().number(), c.getMessage());
		}
		else if (ex instanceof TooLongFrameException) {
			LOG.warn("links: closed {} with code {}: {}.", link, ResultCode.FRAME_TOO_LARGE.number(),
					ResultCode.FRAME_TOO_LARGE.message());
		}
		else if (!(ex instanceof IOException)) {
			LOG.error("links: closed {} after an internal fault.", link, ex);
		}
		return Mono.empty();
	}

	private void gone(String link) {
		close(link);
		this.channels.remove(link);
		this.handler.linkDown(link, false);
	}

	/**
	 * Send a message, or drop it if the link is closed.
	 * @param link the link
	 * @param m the message
	 */
	public void send(String link, Message m) {
		Channel c = this.channels.get(link);
		if (c == null || !c.isActive()) {
			return;
		}
		if (!c.isWritable()) {
			LOG.warn("links: closed {} with code {}: {}.", link, ResultCode.SEND_OVERFLOW.number(),
					ResultCode.SEND_OVERFLOW.message());
			c.close();
			return;
		}
		byte[] frame = this.codec.encode(m);
		ByteBuf length = Unpooled.buffer(LENGTH_BYTES).writeInt(frame.length);
		this.meter.sent(MessageType.of(m), frame.length + LENGTH_BYTES);
		c.writeAndFlush(Unpooled.wrappedBuffer(length, Unpooled.wrappedBuffer(frame)), c.voidPromise());
	}

	/**
	 * Close a link. One that was dialled is opened again.
	 * @param link the link
	 */
	public void close(String link) {
		Channel c = this.channels.get(link);
		if (c != null) {
			c.close();
		}
	}

	/** Close all links. */
	@Override
	public void close() {
		this.closed = true;
		this.dialled.clear();
		if (this.server != null) {
			this.server.disposeNow();
		}
		this.channels.values().forEach(Channel::close);
	}

}
