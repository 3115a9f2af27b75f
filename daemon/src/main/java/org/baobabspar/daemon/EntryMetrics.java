package org.baobabspar.daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.baobabspar.entry.JobSummary;
import org.baobabspar.message.MessageType;
import org.baobabspar.wire.FrameMeter;

/**
 * Metrics of an entry or an agent, in the text format of Prometheus. Safe for any thread.
 */
final class EntryMetrics {

	private static final double[] BUCKET_BOUNDS_SECONDS = { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
			30 };

	private static final double MILLIS_PER_SECOND = 1000;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Histogram response = Histogram.builder()
		.name("baobabspar_job_response_seconds")
		.help("Time from arrival to answer")
		.labelNames("party", "class")
		.classicOnly()
		.classicUpperBounds(BUCKET_BOUNDS_SECONDS)
		.register(this.registry);

	private final Histogram wait = Histogram.builder()
		.name("baobabspar_job_wait_seconds")
		.help("Time from arrival to the first start")
		.labelNames("party", "class")
		.classicOnly()
		.classicUpperBounds(BUCKET_BOUNDS_SECONDS)
		.register(this.registry);

	private final Counter jobs = Counter.builder()
		.name("baobabspar_jobs_total")
		.help("Ended jobs by result code")
		.labelNames("party", "class", "code")
		.register(this.registry);

	private final Counter tasks = Counter.builder()
		.name("baobabspar_tasks_total")
		.help("Tasks of ended jobs by result code")
		.labelNames("party", "class", "code")
		.register(this.registry);

	private final Gauge waiting = Gauge.builder()
		.name("baobabspar_waiting_tasks")
		.help("Tasks waiting at this entry")
		.register(this.registry);

	private final Gauge live = Gauge.builder()
		.name("baobabspar_live_jobs")
		.help("Jobs that are not answered yet")
		.register(this.registry);

	EntryMetrics(FrameMeter meter) {
		CounterWithCallback.builder()
			.name("baobabspar_frames_total")
			.help("Frames by type and direction")
			.labelNames("type", "direction")
			.callback((callback) -> {
				for (MessageType t : MessageType.values()) {
					callback.call(meter.sent(t), t.name(), "sent");
					callback.call(meter.received(t), t.name(), "received");
				}
			})
			.register(this.registry);
		CounterWithCallback.builder()
			.name("baobabspar_frame_bytes_total")
			.help("Bytes of frames by direction")
			.labelNames("direction")
			.callback((callback) -> {
				callback.call(meter.sentBytes(), "sent");
				callback.call(meter.receivedBytes(), "received");
			})
			.register(this.registry);
	}

	void ended(JobSummary summary) {
		this.response.labelValues(summary.party(), summary.taskClass())
			.observe(summary.responseMillis() / MILLIS_PER_SECOND);
		this.wait.labelValues(summary.party(), summary.taskClass()).observe(summary.waitMillis() / MILLIS_PER_SECOND);
		this.jobs.labelValues(summary.party(), summary.taskClass(), summary.code().name()).inc();
		this.tasks.labelValues(summary.party(), summary.taskClass(), summary.code().name()).inc(summary.tasks());
	}

	void state(int waitingTasks, int liveJobs) {
		this.waiting.set(waitingTasks);
		this.live.set(liveJobs);
	}

	byte[] scrape() {
		try {
			ByteArrayOutputStream buffer = new ByteArrayOutputStream();
			PrometheusTextFormatWriter.create().write(buffer, this.registry.scrape());
			return buffer.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
