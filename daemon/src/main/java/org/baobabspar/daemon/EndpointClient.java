package org.baobabspar.daemon;

import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.TimeoutException;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import org.baobabspar.agent.LedgerTask;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * Calls the endpoint beside an agent over HTTP. A call is made once and never repeated:
 * the client's own retry is off, since a request on a connection that broke may have been
 * carried out. Immutable and safe for any thread.
 */
final class EndpointClient {

	/** Connections that an endpoint takes. */
	static final int MAX_CONNECTIONS = 64;

	private static final int CONNECT_MILLIS = 1_000;

	private static final long HEALTH_MILLIS = 1_000;

	private static final int MAX_RESULT_BYTES = 64 * 1024;

	private static final long IDLE_MILLIS = 5_000;

	private final HttpClient http;

	private final long timeoutMillis;

	EndpointClient(String address, long timeoutMillis, LoopResources loops) {
		ConnectionProvider pool = ConnectionProvider.builder("endpoint")
			.maxConnections(MAX_CONNECTIONS)
			.maxIdleTime(Duration.ofMillis(IDLE_MILLIS))
			.build();
		this.timeoutMillis = timeoutMillis;
		this.http = HttpClient.create(pool)
			.runOn(loops)
			.baseUrl("http://" + address)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
			.disableRetry(true);
	}

	/**
	 * Run a task.
	 * @param t the task
	 * @param payload its bytes
	 * @return how it ended; never an error
	 */
	Mono<EndpointResult> run(LedgerTask t, byte[] payload) {
		return this.http.headers((h) -> {
			h.set("Content-Type", "application/json");
			h.set("X-Job-Id", t.jobId());
			h.set("X-Task-Index", t.index());
			h.set("X-Party", t.party());
			h.set("X-Class", t.taskClass());
		})
			.post()
			.uri("/tasks")
			.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(payload)))
			.responseSingle((r, body) -> body.map(EndpointClient::bytes)
				.defaultIfEmpty(new byte[0])
				.map((b) -> result(r.status().code(), b)))
			.timeout(Duration.ofMillis(this.timeoutMillis))
			.onErrorResume((ex) -> Mono.just(failure(ex)));
	}

	private static byte[] bytes(ByteBuf b) {
		if (b.readableBytes() > MAX_RESULT_BYTES) {
			throw new CodedException(ResultCode.RESULT_TOO_LARGE, "result of " + b.readableBytes() + " bytes");
		}
		byte[] r = new byte[b.readableBytes()];
		b.readBytes(r);
		return r;
	}

	private static EndpointResult result(int status, byte[] body) {
		return new EndpointResult((status == 200) ? ResultCode.COMPLETE : ResultCode.TASK_FAILED, body, true);
	}

	private static EndpointResult failure(Throwable ex) {
		if (ex instanceof ConnectException || ex instanceof ConnectTimeoutException) {
			return new EndpointResult(ResultCode.GATE_ENDPOINT_DOWN, new byte[0], false);
		}
		ResultCode c = ResultCode.TASK_FAILED;
		if (ex instanceof TimeoutException) {
			c = ResultCode.TASK_TIMEOUT;
		}
		else if (ex instanceof CodedException e) {
			c = e.code();
		}
		return new EndpointResult(c, new byte[0], true);
	}

	Mono<Boolean> healthy() {
		return this.http.get()
			.uri("/health")
			.response()
			.map((r) -> r.status().code() == 200)
			.timeout(Duration.ofMillis(HEALTH_MILLIS))
			.onErrorReturn(false);
	}

	/**
	 * How a call ended. Immutable.
	 *
	 * @param code the code
	 * @param body the endpoint's answer
	 * @param reached whether the endpoint may have seen the request
	 */
	record EndpointResult(ResultCode code, byte[] body, boolean reached) {
	}

}
