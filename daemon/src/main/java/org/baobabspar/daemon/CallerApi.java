package org.baobabspar.daemon;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;

import io.netty.handler.codec.http.QueryStringDecoder;
import org.baobabspar.document.DocumentVersion;
import org.baobabspar.entry.EntryCore;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.JobAnswer;
import org.baobabspar.model.JobSpec;
import org.baobabspar.model.ResultCode;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * Serves the HTTP interface for callers and operators. Requests are decoded on the event
 * loops and processed on the control thread.
 * <p>
 * Invariant: each request has a unique id, and an answer is delivered only to the request
 * with that id. Safe for any thread.
 */
final class CallerApi {

	private static final long MAX_WAIT_MILLIS = 600_000;

	private static final long MILLIS_PER_SECOND = 1000;

	private final Control control;

	private final EntryCore core;

	private final EntryMetrics metrics;

	private final Map<Long, MonoSink<JobAnswer>> pendingRequests = new ConcurrentHashMap<>();

	private final AtomicLong lastRequestId = new AtomicLong();

	CallerApi(Control control, EntryCore core, EntryMetrics metrics) {
		this.control = control;
		this.core = core;
		this.metrics = metrics;
	}

	void routes(HttpServerRoutes routes) {
		routes.post("/v1/jobs", this::submit)
			.get("/v1/jobs/{party}/{key}", this::poll)
			.delete("/v1/jobs/{party}/{key}", this::cancel)
			.get("/v1/status", this::status)
			.get("/v1/environment", this::environment)
			.get("/metrics", (request, response) -> Http.text(response, 200, this.metrics.scrape()))
			.get("/health/live", (request, response) -> Http.json(response, 200, Map.of("live", true)))
			.get("/health/ready", this::ready);
	}

	/**
	 * Delivers an answer to the request that waits for it. Does nothing if the request
	 * has already been answered or cancelled.
	 * @param requestId the id of the request
	 * @param answer the answer
	 */
	void answer(long requestId, JobAnswer answer) {
		MonoSink<JobAnswer> sink = this.pendingRequests.remove(requestId);
		if (sink != null) {
			sink.success(answer);
		}
	}

	private Publisher<Void> submit(HttpServerRequest request, HttpServerResponse response) {
		boolean wait = !"false".equals(parameter(request, "wait", "true"));
		return Http.body(request)
			.map(JobRequest::read)
			.flatMap((spec) -> wait ? submitAndWait(spec) : submitWithoutWaiting(spec))
			.onErrorResume(CodedException.class, (ex) -> Mono.just(JobAnswer.failed("", ex.code(), ex.getMessage())))
			.flatMap((answer) -> Mono.from(respond(response, answer)));
	}

	private Mono<JobAnswer> submitAndWait(JobSpec spec) {
		return request(spec.id(), (id) -> this.core.submit(this.control.now(), id, spec));
	}

	private Mono<JobAnswer> submitWithoutWaiting(JobSpec spec) {
		return Mono.<JobAnswer>create((sink) -> this.control.run(() -> {
			long id = register(spec.id(), sink);
			this.core.submit(this.control.now(), id, spec);
			answer(id, inProgress(spec.id()));
		}));
	}

	private static JobAnswer inProgress(String jobId) {
		return JobAnswer.failed(jobId, ResultCode.IN_PROGRESS, ResultCode.IN_PROGRESS.message());
	}

	private Mono<JobAnswer> request(String jobId, LongConsumer event) {
		return Mono.create((sink) -> this.control.run(() -> event.accept(register(jobId, sink))));
	}

	private long register(String jobId, MonoSink<JobAnswer> sink) {
		long id = this.lastRequestId.incrementAndGet();
		this.pendingRequests.put(id, sink);
		sink.onCancel(() -> {
			this.pendingRequests.remove(id);
			this.control.run(() -> this.core.removeRequest(jobId, id));
		});
		return id;
	}

	private Publisher<Void> poll(HttpServerRequest request, HttpServerResponse response) {
		String jobId = jobId(request);
		long waitMillis = waitMillis(request);
		Mono<JobAnswer> pendingAnswer = request(jobId, (id) -> {
			if (!this.core.await(this.control.now(), id, jobId)) {
				answer(id, JobAnswer.failed(jobId, ResultCode.JOB_UNKNOWN, ResultCode.JOB_UNKNOWN.message()));
			}
		});
		return pendingAnswer.timeout(Duration.ofMillis(waitMillis), Mono.just(inProgress(jobId)))
			.flatMap((answer) -> Mono.from(respond(response, answer)));
	}

	private static long waitMillis(HttpServerRequest request) {
		try {
			return Math.max(1, Math.min(MAX_WAIT_MILLIS, Long.parseLong(parameter(request, "waitMillis", "1"))));
		}
		catch (NumberFormatException ex) {
			return 1;
		}
	}

	private Publisher<Void> cancel(HttpServerRequest request, HttpServerResponse response) {
		String jobId = jobId(request);
		return request(jobId, (id) -> this.core.cancel(this.control.now(), id, jobId))
			.flatMap((answer) -> Mono.from(respond(response, answer)));
	}

	private static String jobId(HttpServerRequest request) {
		return request.param("party") + "/" + request.param("key");
	}

	private static String parameter(HttpServerRequest request, String name, String defaultValue) {
		List<String> values = new QueryStringDecoder(request.uri()).parameters().get(name);
		return (values == null || values.isEmpty()) ? defaultValue : values.get(0);
	}

	private static Publisher<Void> respond(HttpServerResponse response, JobAnswer answer) {
		if (answer.retryAfterMillis() > 0) {
			response.header("Retry-After",
					Long.toString((answer.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
		}
		return Http.json(response, answer.resultCode().httpStatus(), JobResponse.of(answer));
	}

	private Publisher<Void> status(HttpServerRequest request, HttpServerResponse response) {
		return this.control.call(this::status).flatMap((v) -> Mono.from(Http.json(response, 200, v)));
	}

	private EntryStatus status() {
		return new EntryStatus(this.core.ready(), this.core.production().map(DocumentVersion::version).orElse(0L),
				this.core.waitingTasks(), this.core.liveJobs(), this.core.heldJobs(), List.copyOf(this.core.peers()),
				this.core.agents(), this.core.usage().totalsByParty());
	}

	private Publisher<Void> environment(HttpServerRequest request, HttpServerResponse response) {
		return this.control.call(() -> this.core.production())
			.flatMap((v) -> Mono.from(v.isPresent() ? Http.json(response, 200, v.get())
					: Http.json(response, 404, Map.of("message", ResultCode.NO_DOCUMENT.message()))));
	}

	private Publisher<Void> ready(HttpServerRequest request, HttpServerResponse response) {
		return this.control.call(this.core::ready)
			.flatMap((r) -> Mono.from(Http.json(response, r ? 200 : 503, Map.of("ready", r))));
	}

}
