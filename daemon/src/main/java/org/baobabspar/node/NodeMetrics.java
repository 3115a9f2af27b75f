package org.baobabspar.node;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.baobabspar.dispatch.JobReply;

/**
 * Counters and histograms of a process, in a Prometheus registry. Thread-safe.
 */
public final class NodeMetrics {

	private static final double MILLIS_PER_SECOND = 1000;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter jobs = Counter.builder()
		.name("baobabspar_jobs_total")
		.help("Jobs by route and outcome")
		.labelNames("route", "outcome")
		.register(this.registry);

	private final Histogram seconds = Histogram.builder()
		.name("baobabspar_job_seconds")
		.help("Time from submission to answer")
		.classicUpperBounds(0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 3, 5, 10)
		.classicOnly()
		.labelNames("route", "outcome")
		.register(this.registry);

	private final Counter rejectedInputs = Counter.builder()
		.name("baobabspar_rejected_inputs_total")
		.help("Inputs of other writers that were rejected and skipped, by source")
		.labelNames("source")
		.register(this.registry);

	private final Gauge drainedEndpoints = Gauge.builder()
		.name("baobabspar_drained_endpoints")
		.help("Linked endpoints in failure domains that the operator drains")
		.register(this.registry);

	void recordJob(String route, JobReply reply, long millis) {
		this.jobs.labelValues(route, reply.outcome().name()).inc();
		this.seconds.labelValues(route, reply.outcome().name()).observe(millis / MILLIS_PER_SECOND);
	}

	void recordDrainedEndpoints(long count) {
		this.drainedEndpoints.set(count);
	}

	/**
	 * Counts an input that was rejected and skipped.
	 * @param source the kind of input
	 */
	public void recordRejectedInput(String source) {
		this.rejectedInputs.labelValues(source).inc();
	}

	/**
	 * Returns all metrics in the Prometheus text format.
	 * @return the text, as bytes
	 */
	public byte[] scrape() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try {
			PrometheusTextFormatWriter.create().write(out, this.registry.scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return out.toByteArray();
	}

}
