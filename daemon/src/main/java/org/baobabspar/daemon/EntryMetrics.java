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

	private static final double[] BOUNDS_SECONDS = { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30 };

	private static final double MILLIS_PER_SECOND = 1000;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Histogram response = Histogram.builder()
		.name("baobabspar_job_response_seconds")
		.help("Time from arrival to answer")
		.labelNames("party", "class")
		.classicOnly()
		.classicUpperBounds(BOUNDS_SECONDS)
		.register(this.registry);

	private final Histogram wait = Histogram.builder()
		.name("baobabspar_job_wait_seconds")
		.help("Time from arrival to the first start")
		.labelNames("party", "class")
		.classicOnly()
		.classicUpperBounds(BOUNDS_SECONDS)
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
			.callback((c) -> {
				for (MessageType t : MessageType.values()) {
					c.call(meter.sent(t), t.name(), "sent");
					c.call(meter.received(t), t.name(), "received");
				}
			})
			.register(this.registry);
		CounterWithCallback.builder()
			.name("baobabspar_frame_bytes_total")
			.help("Bytes of frames by direction")
			.labelNames("direction")
			.callback((c) -> {
				c.call(meter.sentBytes(), "sent");
				c.call(meter.receivedBytes(), "received");
			})
			.register(this.registry);
	}

	void ended(JobSummary e) {
		this.response.labelValues(e.party(), e.taskClass()).observe(e.responseMillis() / MILLIS_PER_SECOND);
		this.wait.labelValues(e.party(), e.taskClass()).observe(e.waitMillis() / MILLIS_PER_SECOND);
		this.jobs.labelValues(e.party(), e.taskClass(), e.code().name()).inc();
		this.tasks.labelValues(e.party(), e.taskClass(), e.code().name()).inc(e.tasks());
	}

	void state(int waitingTasks, int liveJobs) {
		this.waiting.set(waitingTasks);
		this.live.set(liveJobs);
	}

	byte[] scrape() {
		try {
			ByteArrayOutputStream b = new ByteArrayOutputStream();
			PrometheusTextFormatWriter.create().write(b, this.registry.scrape());
			return b.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
