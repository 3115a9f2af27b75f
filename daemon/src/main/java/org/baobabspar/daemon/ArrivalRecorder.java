package org.baobabspar.daemon;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import org.baobabspar.dispatch.ArrivalClock;
import org.baobabspar.dispatch.RequestArrival;

/**
 * Records the arrival of each request on a connection as soon as its head has been read.
 * The body may follow much later, and a request that follows another one on the
 * connection is handled only when that one has been answered.
 * <p>
 * Invariant: arrivals are taken in the order of the requests. Confined to the event loop
 * of the connection.
 */
final class ArrivalRecorder extends ChannelInboundHandlerAdapter {

	private final ArrivalClock clock;

	private final Deque<RequestArrival> arrivals = new ArrayDeque<>();

	ArrivalRecorder(ArrivalClock clock) {
		this.clock = clock;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof HttpRequest) {
			this.arrivals.add(this.clock.read());
		}
		context.fireChannelRead(message);
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
