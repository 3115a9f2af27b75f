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
 * Calls the endpoint beside an agent over HTTP. A request is sent at most once: the retry
 * of the HTTP client is disabled, since the endpoint may have executed a request whose
 * connection broke. Immutable and safe for any thread.
 */
final class EndpointClient {

	/** Largest number of concurrent connections to an endpoint. */
	static final int MAX_CONNECTIONS = 64;

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final long HEALTH_TIMEOUT_MILLIS = 1_000;

	private static final int MAX_RESULT_BYTES = 64 * 1024;

	private static final long MAX_IDLE_MILLIS = 5_000;

	private final HttpClient http;

	private final long timeoutMillis;

	EndpointClient(String address, long timeoutMillis, LoopResources loops) {
		ConnectionProvider pool = ConnectionProvider.builder("endpoint")
			.maxConnections(MAX_CONNECTIONS)
			.maxIdleTime(Duration.ofMillis(MAX_IDLE_MILLIS))
			.build();
		this.timeoutMillis = timeoutMillis;
		this.http = HttpClient.create(pool)
			.runOn(loops)
			.baseUrl("http://" + address)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.disableRetry(true);
	}

	/**
	 * Runs a task.
	 * @param task the task
	 * @param payload its payload
	 * @return the result of the call; never an error signal
	 */
	Mono<EndpointResult> run(LedgerTask task, byte[] payload) {
		return this.http.headers((headers) -> {
			headers.set("Content-Type", "application/json");
			headers.set("X-Job-Id", task.jobId());
			headers.set("X-Task-Index", task.index());
			headers.set("X-Party", task.party());
			headers.set("X-Class", task.taskClass());
		})
			.post()
			.uri("/tasks")
			.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(payload)))
			.responseSingle((response, body) -> body.map(EndpointClient::bytes)
				.defaultIfEmpty(new byte[0])
				.map((bytes) -> result(response.status().code(), bytes)))
			.timeout(Duration.ofMillis(this.timeoutMillis))
			.onErrorResume((ex) -> Mono.just(failure(ex)));
	}

	private static byte[] bytes(ByteBuf buffer) {
		if (buffer.readableBytes() > MAX_RESULT_BYTES) {
			throw new CodedException(ResultCode.RESULT_TOO_LARGE, "result of " + buffer.readableBytes() + " bytes");
		}
		byte[] bytes = new byte[buffer.readableBytes()];
		buffer.readBytes(bytes);
		return bytes;
	}

	private static EndpointResult result(int status, byte[] body) {
		return new EndpointResult((status == 200) ? ResultCode.COMPLETE : ResultCode.TASK_FAILED, body, true);
	}

	private static EndpointResult failure(Throwable ex) {
		if (ex instanceof ConnectException || ex instanceof ConnectTimeoutException) {
			return new EndpointResult(ResultCode.GATE_ENDPOINT_DOWN, new byte[0], false);
		}
		ResultCode code = ResultCode.TASK_FAILED;
		if (ex instanceof TimeoutException) {
			code = ResultCode.TASK_TIMEOUT;
		}
		else if (ex instanceof CodedException codedException) {
			code = codedException.code();
		}
		return new EndpointResult(code, new byte[0], true);
	}

	Mono<Boolean> healthy() {
		return this.http.get()
			.uri("/health")
			.response()
			.map((response) -> response.status().code() == 200)
			.timeout(Duration.ofMillis(HEALTH_TIMEOUT_MILLIS))
			.onErrorReturn(false);
	}

	/**
	 * Result of a call. Immutable.
	 *
	 * @param code the result code
	 * @param body the response body of the endpoint
	 * @param reached whether the endpoint may have received the request
	 */
	record EndpointResult(ResultCode code, byte[] body, boolean reached) {
	}

}
