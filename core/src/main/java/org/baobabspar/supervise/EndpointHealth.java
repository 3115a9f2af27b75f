package org.baobabspar.supervise;

import java.util.HashSet;
import java.util.Set;

import org.baobabspar.fleet.RunEnd;

/**
 * Learns from ends how fast an endpoint is and whether its runs fail. An endpoint on
 * which runs of two jobs fail in a row, with no success between, is set aside for a
 * while; each further failure doubles the time, a success ends it. Used on the control
 * thread only.
 */
final class EndpointHealth {

	private static final double SPEED_WEIGHT = 0.12;

	private static final int FIRST_SAMPLES = 8;

	private static final double MAX_SPEED_STEP = 3;

	private static final int FAILED_JOBS = 2;

	private static final long FIRST_ASIDE_MILLIS = 500;

	private static final long MAX_ASIDE_MILLIS = 4_000;

	private final Set<String> failedJobs = new HashSet<>();

	private double logSpeed;

	private int samples;

	private long asideUntilMillis;

	private long asideMillis = FIRST_ASIDE_MILLIS;

	void ended(SupervisedRun r, RunEnd end, long ranMillis, long nowMillis) {
		if (end == RunEnd.DONE) {
			succeeded();
			sample((double) r.expectedMillis / Math.max(1, ranMillis));
		}
		else if (end == RunEnd.FAILED) {
			this.failedJobs.add(r.key.jobId());
			setAside(nowMillis);
		}
	}

	/**
	 * Take a run that stands still as a failure of the endpoint.
	 * @param r the run
	 * @param nowMillis the time
	 */
	void stalled(SupervisedRun r, long nowMillis) {
		this.failedJobs.add(r.key.jobId());
		setAside(nowMillis);
	}

	/**
	 * Take the pace of a run that is far behind as a sample.
	 * @param factor work done against the work expected by now
	 */
	void behind(double factor) {
		if (factor < speed()) {
			sample(factor);
		}
	}

	private void succeeded() {
		this.failedJobs.clear();
		this.asideMillis = FIRST_ASIDE_MILLIS;
		this.asideUntilMillis = 0;
	}

	private void setAside(long nowMillis) {
		if (this.failedJobs.size() >= FAILED_JOBS && nowMillis >= this.asideUntilMillis) {
			this.asideUntilMillis = nowMillis + this.asideMillis;
			this.asideMillis = Math.min(MAX_ASIDE_MILLIS, 2 * this.asideMillis);
		}
	}

	private void sample(double factor) {
		double step = Math.log(factor) - this.logSpeed;
		double bound = Math.log(MAX_SPEED_STEP);
		this.samples = Math.min(FIRST_SAMPLES, this.samples + 1);
		double weight = Math.max(SPEED_WEIGHT, 1.0 / (this.samples + 1));
		this.logSpeed += weight * Math.max(-bound, Math.min(bound, step));
	}

	double speed() {
		return Math.exp(this.logSpeed);
	}

	boolean aside(long nowMillis) {
		return nowMillis < this.asideUntilMillis;
	}

	void reset() {
		this.failedJobs.clear();
		this.logSpeed = 0;
		this.samples = 0;
		this.asideUntilMillis = 0;
		this.asideMillis = FIRST_ASIDE_MILLIS;
	}

}
