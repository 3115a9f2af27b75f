package org.baobabspar.daemon;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import org.baobabspar.dispatch.ArrivalClock;
import org.baobabspar.dispatch.RequestArrival;

/**
 * Records the arrival of each request on a connection as soon as its head has been read.
 * The body may follow much later, and a request that follows another one on the
 * connection is handled only when that one has been answered. A request can't have been
 * sent before the connection was opened, nor, if no other one is open on it, before the
 * last answer.
 * <p>
 * Invariant: arrivals are taken in the order of the requests. Confined to the event loop
 * of the connection.
 */
final class ArrivalRecorder extends ChannelDuplexHandler {

	private final ArrivalClock clock;

	private final Deque<RequestArrival> arrivals = new ArrayDeque<>();

	private int unansweredRequests;

	/** Since when the connection had no open request before the open ones came. */
	private long quietSinceMillis;

	ArrivalRecorder(ArrivalClock clock) {
		this.clock = clock;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.quietSinceMillis = this.clock.accept();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof HttpRequest) {
			this.unansweredRequests++;
			this.arrivals.add(this.clock.read(this.quietSinceMillis));
		}
		else {
			this.clock.readPart();
		}
		context.fireChannelRead(message);
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		if (message instanceof LastHttpContent && !isInterim(message) && --this.unansweredRequests == 0) {
			this.quietSinceMillis = this.clock.now();
		}
		context.write(message, promise);
	}

	private static boolean isInterim(Object message) {
		return message instanceof HttpResponse response
				&& response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
	}

	/**
	 * Removes and returns the arrival of the next request that is handled.
	 * @param channel the connection
	 * @return the arrival
	 */
	static RequestArrival take(Channel channel) {
		return channel.pipeline().get(ArrivalRecorder.class).arrivals.remove();
	}

}
