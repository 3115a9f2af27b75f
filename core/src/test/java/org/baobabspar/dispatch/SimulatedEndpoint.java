package org.baobabspar.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.baobabspar.fleet.Resources;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.baobabspar.supervise.EndedRun;
import org.baobabspar.supervise.PresentRun;
import org.baobabspar.supervise.StartAnswer;

/**
 * A simulated endpoint. Like a real one, it starts every run that it is told to start,
 * without a check of its capacity, and ends all runs when its lease expires. Its clock
 * may be up to two percent slow.
 * <p>
 * Invariants: an order with a lower fencing token than the highest one seen has no
 * effect; the lease never shortens and is at most {@value #MAX_LEASE_MILLIS} ms long; a
 * run number is not used again after a run with this number or a higher one has ended or
 * was stopped. Not thread-safe.
 */
final class SimulatedEndpoint {

	static final Resources CAPACITY = new Resources(8_000, 1_024, 0);

	/** Lowest clock rate of an endpoint relative to the simulated time. */
	static final double SLOWEST_CLOCK = 0.98;

	/** Longest lease; longer ones are shortened. */
	private static final long MAX_LEASE_MILLIS = 1_000;

	/** Time that the endpoint takes to stop a run. */
	private static final long STOP_MILLIS = 50;

	final int number;

	private final Simulation simulation;

	private final GuaranteeChecker checker;

	private final double clockRate;

	private final Map<RunKey, Run> presentRuns = new LinkedHashMap<>();

	/** Highest run number of each task that has ended or was stopped. */
	private final Map<String, Long> usedNumbers = new HashMap<>();

	private final List<EndedRun> endedRuns = new ArrayList<>();

	private long highestFence;

	private long lastEndSequence;

	private String id;

	private int lastIdNumber;

	private boolean up = true;

	/** Simulated time at which the current incarnation started. */
	private long bornMillis;

	/** Simulated time at which the clock showed 0. */
	private long clockOriginMillis;

	/** Expiry of the lease by the endpoint's clock. */
	private double leaseExpiryMillis;

	SimulatedEndpoint(Simulation simulation, GuaranteeChecker checker, int number, double clockRate) {
		this.simulation = simulation;
		this.checker = checker;
		this.number = number;
		this.clockRate = clockRate;
		this.id = "endpoint-" + number;
		this.bornMillis = simulation.nowMillis();
		this.clockOriginMillis = this.bornMillis;
	}

	String id() {
		return this.id;
	}

	long bornMillis() {
		return this.bornMillis;
	}

	boolean up() {
		return this.up;
	}

	/** Ends the current incarnation together with its runs. */
	void kill() {
		advance();
		trace("killed runs=" + this.presentRuns.keySet());
		this.up = false;
		this.presentRuns.clear();
		this.usedNumbers.clear();
		this.endedRuns.clear();
		this.highestFence = 0;
		this.lastEndSequence = 0;
	}

	/**
	 * Starts another incarnation.
	 * @param underNewId whether its id differs from that of the last one
	 * @param withNewClock whether its clock begins at 0 again
	 */
	void restart(boolean underNewId, boolean withNewClock) {
		kill();
		this.up = true;
		this.bornMillis = this.simulation.nowMillis();
		if (underNewId) {
			this.id = "endpoint-" + this.number + "-" + (++this.lastIdNumber);
		}
		if (withNewClock) {
			this.clockOriginMillis = this.bornMillis;
		}
		this.leaseExpiryMillis = clockMillis();
		trace("born id=" + this.id + " new_clock=" + withNewClock);
	}

	private void trace(String line) {
		this.simulation.trace("endpoint-" + this.number, line);
	}

	double clockMillis() {
		return (this.simulation.nowMillis() - this.clockOriginMillis) * this.clockRate;
	}

	/**
	 * Advances the endpoint to the current time: ends the runs that are done, stopped or
	 * without a lease.
	 */
	void advance() {
		double lapseMillis = this.clockOriginMillis + this.leaseExpiryMillis / this.clockRate;
		for (Run run : List.copyOf(this.presentRuns.values())) {
			double stopMillis = (run.stopAtMillis > 0) ? run.stopAtMillis : Double.POSITIVE_INFINITY;
			double doneMillis = run.startMillis + run.workMillis;
			double endMillis = Math.min(lapseMillis, Math.min(stopMillis, doneMillis));
			if (this.simulation.nowMillis() >= endMillis) {
				end(run, (endMillis == doneMillis) ? RunEnd.DONE
						: (endMillis == stopMillis) ? RunEnd.STOPPED : RunEnd.LOST, Math.round(endMillis));
			}
		}
	}

	private void end(Run run, RunEnd end, long endMillis) {
		trace("end run=" + run.key.task() + "#" + run.key.number() + " end=" + end + " ended_at=" + endMillis);
		this.presentRuns.remove(run.key);
		this.usedNumbers.merge(run.key.task(), run.key.number(), Math::max);
		this.endedRuns.add(new EndedRun(++this.lastEndSequence, run.key.task(), run.key.number(), end));
		if (end == RunEnd.DONE) {
			this.checker.recordDone(run.key);
		}
	}

	StartAnswer start(RunKey key, Resources room, long workMillis, OptionalLong deadlineMillis, long fence) {
		advance();
		if (!admit(fence)) {
			return StartAnswer.FENCED;
		}
		if (deadlineMillis.isPresent() && deadlineMillis.getAsLong() <= clockMillis()) {
			return StartAnswer.NUMBER_USED;
		}
		deadlineMillis.ifPresent(this::extend);
		if (this.presentRuns.containsKey(key)) {
			return StartAnswer.STARTED;
		}
		if (this.usedNumbers.getOrDefault(key.task(), 0L) >= key.number()) {
			return StartAnswer.NUMBER_USED;
		}
		this.presentRuns.put(key, new Run(key, room, this.simulation.nowMillis(), workMillis));
		trace("start run=" + key.task() + "#" + key.number() + " work_ms=" + workMillis + " lease_left_ms="
				+ Math.round(this.leaseExpiryMillis - clockMillis()));
		this.checker.recordStart(this, key);
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

	void extend(long deadlineMillis) {
		advance();
		this.leaseExpiryMillis = Math.max(this.leaseExpiryMillis,
				Math.min(deadlineMillis, clockMillis() + MAX_LEASE_MILLIS));
	}

	/**
	 * Stops a run, or ensures that it never starts.
	 * @param task the task
	 * @param runNumber number of the run
	 * @param fence the fencing token
	 * @return whether the token was admitted
	 */
	boolean stop(String task, long runNumber, long fence) {
		advance();
		if (!admit(fence)) {
			return false;
		}
		this.usedNumbers.merge(task, runNumber, Math::max);
		for (Run run : this.presentRuns.values()) {
			if (run.key.task().equals(task) && run.key.number() == runNumber && run.stopAtMillis == 0) {
				trace("stop run=" + task + "#" + runNumber);
				run.stopAtMillis = this.simulation.nowMillis() + STOP_MILLIS;
			}
		}
		return true;
	}

	List<PresentRun> presentRuns() {
		advance();
		return this.presentRuns.values()
			.stream()
			.map((r) -> new PresentRun(r.key.task(), r.key.number(),
					(int) (100 * (this.simulation.nowMillis() - r.startMillis) / Math.max(1, r.workMillis))))
			.toList();
	}

	List<RunKey> presentRunsOf(String task) {
		return this.presentRuns.keySet().stream().filter((key) -> key.task().equals(task)).toList();
	}

	/**
	 * Lists the ends that are not confirmed and forgets the others.
	 * @param confirmedSequence sequence number up to which ends are confirmed
	 * @return the ends, oldest first
	 */
	List<EndedRun> endedRuns(long confirmedSequence) {
		advance();
		this.endedRuns.removeIf((e) -> e.sequence() <= confirmedSequence);
		return List.copyOf(this.endedRuns);
	}

	boolean hasEndsAfter(long sequence) {
		advance();
		return this.lastEndSequence > sequence;
	}

	Resources usedRoom() {
		return this.presentRuns.values().stream().map((r) -> r.room).reduce(Resources.NONE, Resources::plus);
	}

	/**
	 * A run that is present at the endpoint.
	 */
	private static final class Run {

		private final RunKey key;

		private final Resources room;

		private final long startMillis;

		private final long workMillis;

		/** Time at which a requested stop takes effect, 0 if none is requested. */
		private long stopAtMillis;

		Run(RunKey key, Resources room, long startMillis, long workMillis) {
			this.key = key;
			this.room = room;
			this.startMillis = startMillis;
			this.workMillis = workMillis;
		}

	}

}
