package org.baobabspar.supervise;

import java.util.HashSet;
import java.util.Set;

import org.baobabspar.fleet.RunEnd;

/**
 * Learns from ends how fast an endpoint is and whether its runs fail. An endpoint on
 * which runs of two jobs fail in a row, with no success between, is set aside for a while
 * and then on trial; each further failure doubles the time, a success ends it. An
 * endpoint that has become slow gets no work that could show its recovery, so that its
 * speed is taken to return to the usual when no run has told otherwise for a while.
 * <p>
 * Example: an endpoint of speed 1 turns eight times slower; runs that are behind bring it
 * to 0.2 within half a second, and it gets no more. Three seconds later it counts as half
 * as fast as usual, takes short tasks, and is either found slow again or back. Used on
 * the control thread only.
 */
final class EndpointHealth {

	private static final double SPEED_WEIGHT = 0.12;

	/** The usual speed changes slowly, so that a few slow seconds hardly touch it. */
	private static final double USUAL_WEIGHT = 0.02;

	private static final int FIRST_SAMPLES = 8;

	/** A remembered speed counts as much as so many samples. */
	private static final int REMEMBERED_SAMPLES = 4;

	private static final double MAX_SPEED_STEP = 3;

	private static final double MAX_USUAL_STEP = 1.5;

	/** Samples of running tasks come often; closer ones say the same. */
	private static final long BEHIND_MILLIS = 80;

	/** Time without samples after which the speed begins to return to the usual. */
	private static final long QUIET_MILLIS = 1_000;

	/** Time in which it then returns by half. */
	private static final double RETURN_MILLIS = 1_500;

	private static final int FAILED_JOBS = 2;

	private static final long FIRST_ASIDE_MILLIS = 500;

	private static final long MAX_ASIDE_MILLIS = 4_000;

	private final Set<String> failedJobs = new HashSet<>();

	private double logSpeed;

	private double logUsual;

	private int samples;

	private long sampleMillis;

	private long asideUntilMillis;

	private long asideMillis = FIRST_ASIDE_MILLIS;

	private boolean trial;

	void ended(SupervisedRun r, RunEnd end, long ranMillis, long nowMillis) {
		if (end == RunEnd.DONE) {
			succeeded();
			sample((double) r.expectedMillis / Math.max(1, ranMillis), nowMillis);
		}
		else if (end == RunEnd.FAILED) {
			failed(r, nowMillis);
		}
	}

	/**
	 * Take a run that stands still as a failure of the endpoint.
	 * @param r the run
	 * @param nowMillis the time
	 */
	void stalled(SupervisedRun r, long nowMillis) {
		failed(r, nowMillis);
	}

	/**
	 * Take the pace of a run that is behind as a sample.
	 * @param pace work done against the work expected by now
	 * @param nowMillis the time
	 */
	void behind(double pace, long nowMillis) {
		if (pace < Math.exp(this.logSpeed) && nowMillis - this.sampleMillis >= BEHIND_MILLIS) {
			sample(pace, nowMillis);
		}
	}

	private void succeeded() {
		this.failedJobs.clear();
		this.asideMillis = FIRST_ASIDE_MILLIS;
		this.asideUntilMillis = 0;
		this.trial = false;
	}

	private void failed(SupervisedRun r, long nowMillis) {
		this.failedJobs.add(r.key.jobId());
		if (this.failedJobs.size() >= FAILED_JOBS && nowMillis >= this.asideUntilMillis) {
			this.trial = true;
			this.asideUntilMillis = nowMillis + this.asideMillis;
			this.asideMillis = Math.min(MAX_ASIDE_MILLIS, 2 * this.asideMillis);
		}
	}

	private void sample(double factor, long nowMillis) {
		this.logSpeed = logSpeed(nowMillis);
		this.sampleMillis = nowMillis;
		this.samples++;
		double first = 1.0 / (Math.min(FIRST_SAMPLES, this.samples) + 1);
		this.logSpeed += Math.max(SPEED_WEIGHT, first) * step(factor, this.logSpeed, MAX_SPEED_STEP);
		this.logUsual += Math.max(USUAL_WEIGHT, 1.0 / (this.samples + 1))
				* step(factor, this.logUsual, (this.samples < FIRST_SAMPLES) ? MAX_SPEED_STEP : MAX_USUAL_STEP);
	}

	private static double step(double factor, double log, double max) {
		double bound = Math.log(max);
		return Math.max(-bound, Math.min(bound, Math.log(factor) - log));
	}

	private double logSpeed(long nowMillis) {
		long quiet = nowMillis - this.sampleMillis - QUIET_MILLIS;
		if (quiet <= 0 || this.logSpeed >= this.logUsual) {
			return this.logSpeed;
		}
		return this.logUsual + (this.logSpeed - this.logUsual) * Math.pow(0.5, quiet / RETURN_MILLIS);
	}

	double speed(long nowMillis) {
		return Math.exp(logSpeed(nowMillis));
	}

	boolean aside(long nowMillis) {
		return nowMillis < this.asideUntilMillis;
	}

	/**
	 * Tell whether the endpoint has yet to show that its runs end well.
	 * @return whether it was set aside and nothing has succeeded since
	 */
	boolean onTrial() {
		return this.trial;
	}

	/**
	 * Return the speed in usual times.
	 * @return the speed, 1 before anything is known
	 */
	double baselineSpeed() {
		return Math.exp(this.logUsual);
	}

	/**
	 * Tell whether enough runs have ended to trust the usual speed.
	 * @return whether it is known
	 */
	boolean speedKnown() {
		return this.samples >= FIRST_SAMPLES;
	}

	/**
	 * Begin with another lifetime.
	 * @param baselineSpeed the speed to expect, 1 if nothing is known
	 */
	void reset(double baselineSpeed) {
		succeeded();
		this.logSpeed = Math.log(baselineSpeed);
		this.logUsual = this.logSpeed;
		this.samples = (baselineSpeed != 1) ? REMEMBERED_SAMPLES : 0;
		this.sampleMillis = 0;
	}

}
