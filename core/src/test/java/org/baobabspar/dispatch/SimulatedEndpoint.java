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
 * An endpoint that starts whatever it is told to, under a lease, as real ones do. Its
 * clock may be two percent slow. Used on one thread.
 */
final class SimulatedEndpoint {

	static final double SLOWEST_CLOCK = 0.98;

	private static final long STOP_MILLIS = 30;

	final Map<String, Present> present = new HashMap<>();

	private final Map<String, Long> usedNumbers = new HashMap<>();

	private final List<EndedRun> ended = new ArrayList<>();

	private final double clockRate;

	private long fence;

	private long lastEnd;

	long bornMillis;

	private double leaseUntil;

	SimulatedEndpoint(double clockRate) {
		this.clockRate = clockRate;
	}

	void restart(long nowMillis) {
		this.present.clear();
		this.usedNumbers.clear();
		this.ended.clear();
		this.fence = 0;
		this.lastEnd = 0;
		this.leaseUntil = 0;
		this.bornMillis = nowMillis;
	}

	private double clock(long nowMillis) {
		return (nowMillis - this.bornMillis) * this.clockRate;
	}

	/**
	 * Work until now, so that runs end or lapse.
	 * @param nowMillis the time
	 */
	void work(long nowMillis) {
		for (Present p : List.copyOf(this.present.values())) {
			if (clock(nowMillis) > this.leaseUntil) {
				end(p, RunEnd.LOST);
			}
			else if (p.stopAtMillis > 0 && nowMillis >= p.stopAtMillis) {
				end(p, RunEnd.STOPPED);
			}
			else if (nowMillis >= p.startMillis + p.workMillis) {
				end(p, RunEnd.DONE);
			}
		}
	}

	private void end(Present p, RunEnd how) {
		this.present.remove(p.task);
		this.usedNumbers.merge(p.task, p.number, Math::max);
		this.ended.add(new EndedRun(++this.lastEnd, p.task, p.number, how));
	}

	StartAnswer start(String task, long number, Resources room, long workMillis, double deadline, long newFence,
			long nowMillis) {
		work(nowMillis);
		if (!admit(newFence)) {
			return StartAnswer.FENCED;
		}
		if (deadline <= clock(nowMillis)) {
			return StartAnswer.NUMBER_USED;
		}
		extend(deadline, nowMillis);
		Present there = this.present.get(task);
		if (there != null && there.number == number) {
			return StartAnswer.STARTED;
		}
		if (this.usedNumbers.getOrDefault(task, 0L) >= number || there != null) {
			return StartAnswer.NUMBER_USED;
		}
		this.present.put(task, new Present(task, number, room, nowMillis, workMillis));
		return StartAnswer.STARTED;
	}

	/**
	 * Compare a fencing token.
	 * @param newFence the token
	 * @return whether no higher one has been seen
	 */
	boolean admit(long newFence) {
		if (newFence < this.fence) {
			return false;
		}
		this.fence = newFence;
		return true;
	}

	void extend(double deadline, long nowMillis) {
		this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadline, clock(nowMillis) + 1_000));
	}

	double deadline(long leaseMillis, long nowMillis) {
		return clock(nowMillis) + Math.min(leaseMillis, LeaseTimes.ENDPOINT_LEASE_MILLIS);
	}

	void stop(String task, long number, long nowMillis) {
		this.usedNumbers.merge(task, number, Math::max);
		Present p = this.present.get(task);
		if (p != null && p.number == number && p.stopAtMillis == 0) {
			p.stopAtMillis = nowMillis + STOP_MILLIS;
		}
	}

	List<PresentRun> present(long nowMillis) {
		return this.present.values()
			.stream()
			.map((p) -> new PresentRun(p.task, p.number,
					(int) (100 * (nowMillis - p.startMillis) / Math.max(1, p.workMillis))))
			.toList();
	}

	List<EndedRun> ended(long confirmed) {
		this.ended.removeIf((e) -> e.sequence() <= confirmed);
		return List.copyOf(this.ended);
	}

	Resources used() {
		return this.present.values().stream().map((p) -> p.room).reduce(Resources.NONE, Resources::plus);
	}

	static final class Present {

		final String task;

		final long number;

		final Resources room;

		final long startMillis;

		final long workMillis;

		long stopAtMillis;

		Present(String task, long number, Resources room, long startMillis, long workMillis) {
			this.task = task;
			this.number = number;
			this.room = room;
			this.startMillis = startMillis;
			this.workMillis = workMillis;
		}

	}

}
