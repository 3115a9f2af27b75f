package org.baobabspar.supervise;

import java.util.HashSet;
import java.util.Set;

import org.baobabspar.fleet.RunEnd;

/**
 * Estimates from the ends and the progress of runs how fast an endpoint is and whether
 * its runs fail. An endpoint on which runs of two jobs fail with no success in between is
 * ejected for a time and is on probation afterwards; each further failure doubles the
 * time, and a success ends the probation. A slow endpoint gets no work that could show
 * its recovery, so its speed estimate returns to the baseline if no run has given a
 * sample for some time.
 * <p>
 * A few tasks take many times as long as declared. A run that is far behind shows a slow
 * endpoint only if no other run has ended in time since it became overdue; otherwise its
 * task is long. Such runs are many among those that are present, since they stay for so
 * long.
 * <p>
 * Example: an endpoint of speed 1 becomes eight times slower; runs that are behind lower
 * its estimate to 0.2 within half a second, and it gets no more work. Three seconds later
 * it counts as half as fast as usual, gets short tasks, and is found either to be still
 * slow or to have recovered. Used on the control thread only.
 */
final class EndpointHealth {

	private static final double SPEED_WEIGHT = 0.12;

	/**
	 * The baseline changes slowly, so that a few slow seconds have little effect on it.
	 */
	private static final double BASELINE_WEIGHT = 0.02;

	private static final int WARM_UP_SAMPLES = 8;

	/** Number of samples that a restored baseline counts as. */
	private static final int RESTORED_SAMPLES = 4;

	private static final double MAX_SPEED_CHANGE_FACTOR = 3;

	private static final double MAX_BASELINE_CHANGE_FACTOR = 1.5;

	/**
	 * Minimum time since the last sample before a running task may give another. Running
	 * tasks give samples often, and closer ones carry no further information.
	 */
	private static final long PACE_INTERVAL_MILLIS = 80;

	/** Time without samples after which the speed begins to return to the baseline. */
	private static final long RECOVERY_DELAY_MILLIS = 1_000;

	private static final double RECOVERY_HALF_LIFE_MILLIS = 1_500;

	/** Part of the estimated speed below which a run is far behind. */
	private static final double FAR_BEHIND = 0.4;

	private static final int EJECTION_FAILED_JOBS = 2;

	private static final long MIN_EJECTION_MILLIS = 500;

	private static final long MAX_EJECTION_MILLIS = 4_000;

	private final Set<String> failedJobs = new HashSet<>();

	private double logSpeed;

	private double logBaseline;

	private int sampleCount;

	private long lastSampleMillis;

	/** When the last run ended that was not far behind. */
	private long lastInTimeMillis;

	private long ejectedUntilMillis;

	private long nextEjectionMillis = MIN_EJECTION_MILLIS;

	private boolean onProbation;

	void recordEnd(SupervisedRun run, RunEnd end, long ranMillis, long nowMillis) {
		if (end == RunEnd.DONE) {
			clearFailures();
			recordPace((double) run.expectedMillis / Math.max(1, ranMillis), run.overdueMillis(), nowMillis, true);
		}
		else if (end == RunEnd.FAILED) {
			recordFailure(run, nowMillis);
		}
	}

	/**
	 * Records a stalled run, which counts as a failure of the endpoint.
	 * @param run the run
	 * @param nowMillis the current time
	 */
	void recordStall(SupervisedRun run, long nowMillis) {
		recordFailure(run, nowMillis);
	}

	/**
	 * Records the pace of a run that is behind, if it is below the current estimate.
	 * @param pace work done divided by the work expected by now
	 * @param overdueMillis when the run should have ended
	 * @param nowMillis the current time
	 */
	void recordPace(double pace, long overdueMillis, long nowMillis) {
		if (pace < Math.exp(this.logSpeed) && nowMillis - this.lastSampleMillis >= PACE_INTERVAL_MILLIS) {
			recordPace(pace, overdueMillis, nowMillis, false);
		}
	}

	private void recordPace(double pace, long overdueMillis, long nowMillis, boolean ended) {
		boolean farBehind = pace < FAR_BEHIND * speed(nowMillis);
		if (farBehind && this.lastInTimeMillis > overdueMillis) {
			return;
		}
		if (ended && !farBehind) {
			this.lastInTimeMillis = nowMillis;
		}
		addSample(pace, nowMillis);
	}

	private void clearFailures() {
		this.failedJobs.clear();
		this.nextEjectionMillis = MIN_EJECTION_MILLIS;
		this.ejectedUntilMillis = 0;
		this.onProbation = false;
	}

	private void recordFailure(SupervisedRun run, long nowMillis) {
		this.failedJobs.add(run.key.jobId());
		if (this.failedJobs.size() >= EJECTION_FAILED_JOBS && nowMillis >= this.ejectedUntilMillis) {
			this.onProbation = true;
			this.ejectedUntilMillis = nowMillis + this.nextEjectionMillis;
			this.nextEjectionMillis = Math.min(MAX_EJECTION_MILLIS, 2 * this.nextEjectionMillis);
		}
	}

	private void addSample(double speedSample, long nowMillis) {
		this.logSpeed = currentLogSpeed(nowMillis);
		this.lastSampleMillis = nowMillis;
		this.sampleCount++;
		double warmUpWeight = 1.0 / (Math.min(WARM_UP_SAMPLES, this.sampleCount) + 1);
		this.logSpeed += Math.max(SPEED_WEIGHT, warmUpWeight)
				* clampedLogChange(speedSample, this.logSpeed, MAX_SPEED_CHANGE_FACTOR);
		this.logBaseline += Math.max(BASELINE_WEIGHT, 1.0 / (this.sampleCount + 1))
				* clampedLogChange(speedSample, this.logBaseline,
						(this.sampleCount < WARM_UP_SAMPLES) ? MAX_SPEED_CHANGE_FACTOR : MAX_BASELINE_CHANGE_FACTOR);
	}

	private static double clampedLogChange(double speedSample, double logEstimate, double maxFactor) {
		double bound = Math.log(maxFactor);
		return Math.max(-bound, Math.min(bound, Math.log(speedSample) - logEstimate));
	}

	private double currentLogSpeed(long nowMillis) {
		long recoveringMillis = nowMillis - this.lastSampleMillis - RECOVERY_DELAY_MILLIS;
		if (recoveringMillis <= 0 || this.logSpeed >= this.logBaseline) {
			return this.logSpeed;
		}
		return this.logBaseline
				+ (this.logSpeed - this.logBaseline) * Math.pow(0.5, recoveringMillis / RECOVERY_HALF_LIFE_MILLIS);
	}

	double speed(long nowMillis) {
		return Math.exp(currentLogSpeed(nowMillis));
	}

	boolean isEjected(long nowMillis) {
		return nowMillis < this.ejectedUntilMillis;
	}

	/**
	 * Returns whether the endpoint has yet to show that its runs succeed.
	 * @return whether it has been ejected and no run has succeeded since
	 */
	boolean isOnProbation() {
		return this.onProbation;
	}

	/**
	 * Returns the long-term speed, which temporary slowness hardly changes.
	 * @return the speed, 1 if nothing is known
	 */
	double baselineSpeed() {
		return Math.exp(this.logBaseline);
	}

	/**
	 * Returns whether there are enough samples to rely on the baseline.
	 * @return whether the baseline is known
	 */
	boolean isBaselineKnown() {
		return this.sampleCount >= WARM_UP_SAMPLES;
	}

	/**
	 * Starts over for another incarnation of the endpoint.
	 * @param baselineSpeed the expected speed, 1 if nothing is known
	 */
	void reset(double baselineSpeed) {
		clearFailures();
		this.logSpeed = Math.log(baselineSpeed);
		this.logBaseline = this.logSpeed;
		this.sampleCount = (baselineSpeed != 1) ? RESTORED_SAMPLES : 0;
		this.lastSampleMillis = 0;
		this.lastInTimeMillis = 0;
	}

}
