package org.baobabspar.guard;

import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Guards one connection of a client: charges its requests to the account of the process
 * and closes it if the client sends without end, too far ahead or not at all. Sits
 * between the codec and everything that handles requests.
 * <p>
 * Invariants: a request that is given up here is never handed on completely, so its job
 * has not run; nothing is handed on or sent after that. Confined to the event loop of the
 * connection, but for {@link #stage} and {@link #heldBytes}, which the registry guards,
 * and {@link #close}.
 */
public final class ConnectionGuard extends ChannelDuplexHandler {

	/** Requests that a client may send ahead of the first answer. */
	static final int MAX_REQUESTS_AHEAD = 32;

	/** Rest of an answered request that is read in order to keep the connection. */
	static final int MAX_DISCARDED_BYTES = 64 << 10;

	/** Time without any byte after which an incomplete request is given up. */
	static final long STALL_SECONDS = 30;

	/** Time for a client to take its refusal. */
	private static final long REFUSAL_SECONDS = 1;

	/** Objects that a request takes apart from its fields. */
	private static final long REQUEST_BYTES = 1_000;

	/** Objects that a field of the head takes. */
	private static final long FIELD_BYTES = 250;

	/** The body is collected and then copied. */
	private static final long COPIES = 2;

	/** What a connection does. */
	enum Stage {

		/** It has no request, or an incomplete head. */
		IDLE,

		/** A request has begun and is incomplete. */
		RECEIVING,

		/** All requests are complete and not all are answered. */
		SERVING

	}

	private final ConnectionRegistry registry;

	Stage stage = Stage.IDLE;

	long heldBytes;

	private ChannelHandlerContext context;

	/** Charges of the requests that are not answered, the oldest first. */
	private final Deque<Long> charges = new ArrayDeque<>();

	/** Whether the last request is incomplete. */
	private boolean receiving;

	/** Whether the request that is being received has been answered. */
	private boolean answeredEarly;

	private long discardedBytes;

	private long receivedBytes;

	private boolean stallCheckScheduled;

	private volatile boolean closed;

	/**
	 * Creates the guard of a connection.
	 * @param registry the connections of the process
	 */
	public ConnectionGuard(ConnectionRegistry registry) {
		this.registry = registry;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext newContext) {
		this.context = newContext;
		if (!this.registry.add(this)) {
			close(ShedReason.CONNECTIONS);
		}
	}

	@Override
	public void handlerRemoved(ChannelHandlerContext removedContext) {
		this.registry.remove(this);
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactiveContext) {
		this.registry.remove(this);
		inactiveContext.fireChannelInactive();
	}

	@Override
	public void channelRead(ChannelHandlerContext readContext, Object message) {
		if (!this.closed && (!(message instanceof HttpRequest request) || beginRequest(request))
				&& (!(message instanceof HttpContent content) || receive(content))) {
			readContext.fireChannelRead(message);
		}
		else {
			ReferenceCountUtil.release(message);
		}
	}

	private boolean beginRequest(HttpRequest request) {
		if (this.charges.size() >= MAX_REQUESTS_AHEAD || !this.context.channel().isWritable()) {
			this.registry.shed(this, ShedReason.REQUESTS_AHEAD);
			return false;
		}
		this.receiving = true;
		this.answeredEarly = false;
		this.discardedBytes = 0;
		this.charges.add(0L);
		this.registry.move(this, Stage.RECEIVING);
		return charge(REQUEST_BYTES + FIELD_BYTES * request.headers().size());
	}

	private boolean charge(long bytes) {
		this.charges.add(this.charges.removeLast() + bytes);
		return this.registry.charge(this, bytes);
	}

	private boolean receive(HttpContent content) {
		int bytes = content.content().readableBytes();
		this.receivedBytes += bytes + 1;
		if (this.answeredEarly) {
			this.discardedBytes += bytes;
			if (this.discardedBytes > MAX_DISCARDED_BYTES) {
				this.registry.shed(this, ShedReason.ANSWERED);
				return false;
			}
		}
		else if (bytes > 0 && !charge(COPIES * bytes)) {
			return false;
		}
		if (content instanceof LastHttpContent) {
			this.receiving = false;
			updateStage();
		}
		return true;
	}

	private void updateStage() {
		Stage next = this.receiving ? Stage.RECEIVING : this.charges.isEmpty() ? Stage.IDLE : Stage.SERVING;
		this.registry.move(this, next);
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext readContext) {
		if (this.receiving && !this.closed && !this.stallCheckScheduled) {
			scheduleStallCheck();
		}
		readContext.fireChannelReadComplete();
	}

	private void scheduleStallCheck() {
		this.stallCheckScheduled = true;
		long receivedBefore = this.receivedBytes;
		this.context.executor().schedule(() -> {
			this.stallCheckScheduled = false;
			if (this.receiving && this.receivedBytes == receivedBefore) {
				this.registry.shed(this, ShedReason.STALLED);
			}
			else if (this.receiving && !this.closed) {
				scheduleStallCheck();
			}
		}, STALL_SECONDS, TimeUnit.SECONDS);
	}

	@Override
	public void write(ChannelHandlerContext writeContext, Object message, ChannelPromise promise) {
		if (this.closed) {
			ReferenceCountUtil.release(message);
			promise.tryFailure(new ClosedChannelException());
			return;
		}
		boolean interim = message instanceof HttpResponse response
				&& response.status().code() == HttpResponseStatus.CONTINUE.code();
		if (message instanceof LastHttpContent && !interim) {
			endAnswer();
		}
		writeContext.write(message, promise);
	}

	private void endAnswer() {
		if (this.charges.isEmpty()) {
			return;
		}
		this.registry.release(this, this.charges.remove());
		if (this.receiving && this.charges.isEmpty()) {
			this.answeredEarly = true;
		}
		updateStage();
	}

	/**
	 * Closes the connection. A client whose only request is incomplete is told that it
	 * was refused. Safe for any thread.
	 * @param reason why it is closed
	 */
	void close(ShedReason reason) {
		this.context.executor().execute(() -> {
			if (this.closed) {
				return;
			}
			this.closed = true;
			if (this.receiving && this.charges.size() == 1 && reason != ShedReason.REQUESTS_AHEAD) {
				this.context.writeAndFlush(refusal()).addListener(ChannelFutureListener.CLOSE);
				this.context.executor().schedule(() -> this.context.close(), REFUSAL_SECONDS, TimeUnit.SECONDS);
			}
			else {
				this.context.close();
			}
		});
	}

	private static FullHttpResponse refusal() {
		FullHttpResponse refusal = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
		refusal.headers()
			.set(HttpHeaderNames.RETRY_AFTER, 1)
			.set(HttpHeaderNames.CONTENT_LENGTH, 0)
			.set(HttpHeaderNames.CONNECTION, "close");
		return refusal;
	}

}
