package org.baobabspar.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.baobabspar.fleet.Resources;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.supervise.EndedRun;
import org.baobabspar.supervise.LeaseTimes;
import org.baobabspar.supervise.PresentRun;
import org.baobabspar.supervise.StartAnswer;

/**
 * A simulated endpoint. Like a real one, it starts every run that it is told to start,
 * without a check of its capacity, and ends all runs when its lease expires. Its clock
 * may be up to two percent slow. Not thread-safe.
 */
final class SimulatedEndpoint {

	/** Lowest clock rate of an endpoint relative to the simulated time. */
	static final double SLOWEST_CLOCK = 0.98;

	/** Time that the endpoint takes to stop a run. */
	private static final long STOP_MILLIS = 30;

	final Map<String, Run> presentRuns = new HashMap<>();

	/** Highest run number of each task that has ended or was stopped. */
	private final Map<String, Long> usedNumbers = new HashMap<>();

	private final List<EndedRun> endedRuns = new ArrayList<>();

	private final double clockRate;

	private long highestFence;

	private long lastEndSequence;

	/** Simulated time at which the current incarnation started. */
	long bornMillis;

	/** Expiry of the lease by the endpoint's clock. */
	private double leaseExpiryMillis;

	SimulatedEndpoint(double clockRate) {
		this.clockRate = clockRate;
	}

	void restart(long nowMillis) {
		this.presentRuns.clear();
		this.usedNumbers.clear();
		this.endedRuns.clear();
		this.highestFence = 0;
		this.lastEndSequence = 0;
		this.leaseExpiryMillis = 0;
		this.bornMillis = nowMillis;
	}

	private double clockMillis(long nowMillis) {
		return (nowMillis - this.bornMillis) * this.clockRate;
	}

	/**
	 * Advances the endpoint to the current time: ends the runs that are done, stopped or
	 * without a lease.
	 * @param nowMillis the current time
	 */
	void advance(long nowMillis) {
		for (Run run : List.copyOf(this.presentRuns.values())) {
			if (clockMillis(nowMillis) > this.leaseExpiryMillis) {
				end(run, RunEnd.LOST);
			}
			else if (run.stopAtMillis > 0 && nowMillis >= run.stopAtMillis) {
				end(run, RunEnd.STOPPED);
			}
			else if (nowMillis >= run.startMillis + run.workMillis) {
				end(run, RunEnd.DONE);
			}
		}
	}

	private void end(Run run, RunEnd end) {
		this.presentRuns.remove(run.task);
		this.usedNumbers.merge(run.task, run.number, Math::max);
		this.endedRuns.add(new EndedRun(++this.lastEndSequence, run.task, run.number, end));
	}

	StartAnswer start(String task, long number, Resources room, long workMillis, double deadlineMillis, long fence,
			long nowMillis) {
		advance(nowMillis);
		if (!admit(fence)) {
			return StartAnswer.FENCED;
		}
		if (deadlineMillis <= clockMillis(nowMillis)) {
			return StartAnswer.NUMBER_USED;
		}
		extend(deadlineMillis, nowMillis);
		Run present = this.presentRuns.get(task);
		if (present != null && present.number == number) {
			return StartAnswer.STARTED;
		}
		if (this.usedNumbers.getOrDefault(task, 0L) >= number || present != null) {
			return StartAnswer.NUMBER_USED;
		}
		this.presentRuns.put(task, new Run(task, number, room, nowMillis, workMillis));
		return StartAnswer.STARTED;
	}

	/**
	 * Checks a fencing token and remembers it if it is admitted.
	 * @param fence the token
	 * @return whether no higher token has been seen
	 */
	boolean admit(long fence) {
		if (fence < this.highestFence) {
			return false;
		}
		this.highestFence = fence;
		return true;
	}

	void extend(double deadlineMillis, long nowMillis) {
		this.leaseExpiryMillis = Math.max(this.leaseExpiryMillis,
				Math.min(deadlineMillis, clockMillis(nowMillis) + 1_000));
	}

	double deadlineMillis(long leaseMillis, long nowMillis) {
		return clockMillis(nowMillis) + Math.min(leaseMillis, LeaseTimes.ENDPOINT_LEASE_MILLIS);
	}

	void stop(String task, long number, long nowMillis) {
		this.usedNumbers.merge(task, number, Math::max);
		Run run = this.presentRuns.get(task);
		if (run != null && run.number == number && run.stopAtMillis == 0) {
			run.stopAtMillis = nowMillis + STOP_MILLIS;
		}
	}

	List<PresentRun> presentRuns(long nowMillis) {
		return this.presentRuns.values()
			.stream()
			.map((r) -> new PresentRun(r.task, r.number,
					(int) (100 * (nowMillis - r.startMillis) / Math.max(1, r.workMillis))))
			.toList();
	}

	List<EndedRun> endedRuns(long confirmedSequence) {
		this.endedRuns.removeIf((e) -> e.sequence() <= confirmedSequence);
		return List.copyOf(this.endedRuns);
	}

	Resources usedRoom() {
		return this.presentRuns.values().stream().map((r) -> r.room).reduce(Resources.NONE, Resources::plus);
	}

	/**
	 * A run that is present at the endpoint.
	 */
	static final class Run {

		final String task;

		final long number;

		final Resources room;

		final long startMillis;

		final long workMillis;

		/** Time at which a requested stop takes effect, 0 if none is requested. */
		long stopAtMillis;

		Run(String task, long number, Resources room, long startMillis, long workMillis) {
			this.task = task;
			this.number = number;
			this.room = room;
			this.startMillis = startMillis;
			this.workMillis = workMillis;
		}

	}

}
