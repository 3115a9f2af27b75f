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
 * The interface of callers and operators over HTTP. Requests are decoded on the event
 * loops and decided on the control thread.
 * <p>
 * Invariant: each request has its own number, and an answer goes only to the request with
 * its number. Safe for any thread.
 */
final class CallerApi {

	private static final long MAX_WAIT_MILLIS = 600_000;

	private static final long MILLIS_PER_SECOND = 1000;

	private final Control control;

	private final EntryCore core;

	private final EntryMetrics metrics;

	private final Map<Long, MonoSink<JobAnswer>> callers = new ConcurrentHashMap<>();

	private final AtomicLong lastRequest = new AtomicLong();

	CallerApi(Control control, EntryCore core, EntryMetrics metrics) {
		this.control = control;
		this.core = core;
		this.metrics = metrics;
	}

	void routes(HttpServerRoutes r) {
		r.post("/v1/jobs", this::submit)
			.get("/v1/jobs/{party}/{key}", this::poll)
			.delete("/v1/jobs/{party}/{key}", this::cancel)
			.get("/v1/status", this::status)
			.get("/v1/environment", this::environment)
			.get("/metrics", (q, s) -> Http.text(s, 200, this.metrics.scrape()))
			.get("/health/live", (q, s) -> Http.json(s, 200, Map.of("live", true)))
			.get("/health/ready", this::ready);
	}

	/**
	 * Hand an answer to the caller that waits for it.
	 * @param requestId the caller's request
	 * @param a the answer
	 */
	void answer(long requestId, JobAnswer a) {
		MonoSink<JobAnswer> s = this.callers.remove(requestId);
		if (s != null) {
			s.success(a);
		}
	}

	private Publisher<Void> submit(HttpServerRequest q, HttpServerResponse s) {
		boolean wait = !"false".equals(parameter(q, "wait", "true"));
		return Http.body(q)
			.map(JobRequest::read)
			.flatMap((spec) -> wait ? submitted(spec) : accepted(spec))
			.onErrorResume(CodedException.class, (ex) -> Mono.just(JobAnswer.failed("", ex.code(), ex.getMessage())))
			.flatMap((a) -> Mono.from(respond(s, a)));
	}

	private Mono<JobAnswer> submitted(JobSpec spec) {
		return request(spec.id(), (id) -> this.core.submit(this.control.now(), id, spec));
	}

	private Mono<JobAnswer> accepted(JobSpec spec) {
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
		long id = this.lastRequest.incrementAndGet();
		this.callers.put(id, sink);
		sink.onCancel(() -> {
			this.callers.remove(id);
			this.control.run(() -> this.core.removeRequest(jobId, id));
		});
		return id;
	}

	private Publisher<Void> poll(HttpServerRequest q, HttpServerResponse s) {
		String jobId = jobId(q);
		long wait = waitMillis(q);
		Mono<JobAnswer> a = request(jobId, (id) -> {
			if (!this.core.await(this.control.now(), id, jobId)) {
				answer(id, JobAnswer.failed(jobId, ResultCode.JOB_UNKNOWN, ResultCode.JOB_UNKNOWN.message()));
			}
		});
		return a.timeout(Duration.ofMillis(wait), Mono.just(inProgress(jobId)))
			.flatMap((x) -> Mono.from(respond(s, x)));
	}

	private static long waitMillis(HttpServerRequest q) {
		try {
			return Math.max(1, Math.min(MAX_WAIT_MILLIS, Long.parseLong(parameter(q, "waitMillis", "1"))));
		}
		catch (NumberFormatException ex) {
			return 1;
		}
	}

	private Publisher<Void> cancel(HttpServerRequest q, HttpServerResponse s) {
		String jobId = jobId(q);
		return request(jobId, (id) -> this.core.cancel(this.control.now(), id, jobId))
			.flatMap((a) -> Mono.from(respond(s, a)));
	}

	private static String jobId(HttpServerRequest q) {
		return q.param("party") + "/" + q.param("key");
	}

	private static String parameter(HttpServerRequest q, String name, String standard) {
		List<String> v = new QueryStringDecoder(q.uri()).parameters().get(name);
		return (v == null || v.isEmpty()) ? standard : v.get(0);
	}

	private static Publisher<Void> respond(HttpServerResponse s, JobAnswer a) {
		if (a.retryAfterMillis() > 0) {
			s.header("Retry-After", Long.toString((a.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
		}
		return Http.json(s, a.resultCode().httpStatus(), JobResponse.of(a));
	}

	private Publisher<Void> status(HttpServerRequest q, HttpServerResponse s) {
		return this.control.call(this::status).flatMap((v) -> Mono.from(Http.json(s, 200, v)));
	}

	private EntryStatus status() {
		return new EntryStatus(this.core.ready(), this.core.production().map(DocumentVersion::version).orElse(0L),
				this.core.waitingTasks(), this.core.liveJobs(), this.core.heldJobs(), List.copyOf(this.core.peers()),
				this.core.agents(), this.core.usage().totalsByParty());
	}

	private Publisher<Void> environment(HttpServerRequest q, HttpServerResponse s) {
		return this.control.call(() -> this.core.production())
			.flatMap((v) -> Mono.from(v.isPresent() ? Http.json(s, 200, v.get())
					: Http.json(s, 404, Map.of("message", ResultCode.NO_DOCUMENT.message()))));
	}

	private Publisher<Void> ready(HttpServerRequest q, HttpServerResponse s) {
		return this.control.call(this.core::ready)
			.flatMap((r) -> Mono.from(Http.json(s, r ? 200 : 503, Map.of("ready", r))));
	}

}
