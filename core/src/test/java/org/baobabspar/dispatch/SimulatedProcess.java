package org.baobabspar.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * A process with its own clocks that can be frozen, suspended and killed: a monotonic
 * clock, which excludes suspensions, and a time of day, which can be set.
 * <p>
 * Invariants: nothing runs in the process and nothing leaves it while it is frozen or
 * suspended; what was delivered meanwhile is handled in order when it resumes, and
 * overdue periodic work runs before or after that; a killed process does nothing. Not
 * thread-safe.
 */
final class SimulatedProcess {

	/** The time of day at the simulated time 0. */
	private static final long TIME_OF_DAY_ORIGIN_MILLIS = 1_700_000_000_000L;

	private final String name;

	private final Simulation simulation;

	private final Deque<Runnable> deliveries = new ArrayDeque<>();

	private final List<Runnable> unsent = new ArrayList<>();

	private final Set<Runnable> overdueWork = new LinkedHashSet<>();

	private boolean alive;

	private long frozenUntilMillis;

	/** Raised when the process is killed, which invalidates its scheduled events. */
	private int generation;

	/** Duration of the suspensions that are over. */
	private long suspendedMillis;

	/** Difference of the time of day from the true one. */
	private long timeOfDayErrorMillis;

	/** Duration of the freeze that begins at the next transmission, 0 for none. */
	private long nextTransmissionFreezeMillis;

	SimulatedProcess(String name, Simulation simulation) {
		this.name = name;
		this.simulation = simulation;
	}

	void boot() {
		this.alive = true;
	}

	boolean alive() {
		return this.alive;
	}

	int generation() {
		return this.generation;
	}

	boolean frozen() {
		return this.simulation.nowMillis() < this.frozenUntilMillis;
	}

	/**
	 * Reads the monotonic clock of the process.
	 * @return milliseconds since an arbitrary origin
	 */
	long now() {
		return this.simulation.nowMillis() - this.suspendedMillis;
	}

	long timeOfDayMillis() {
		return TIME_OF_DAY_ORIGIN_MILLIS + this.simulation.nowMillis() + this.timeOfDayErrorMillis;
	}

	void stepTimeOfDay(long millis) {
		this.simulation.trace("fault", "step process=" + this.name + " millis=" + millis);
		this.timeOfDayErrorMillis += millis;
	}

	void freeze(long millis) {
		if (this.alive && !frozen()) {
			this.simulation.trace("fault", "freeze process=" + this.name + " millis=" + millis);
			stopUntilResumed(millis, () -> {
			});
		}
	}

	/**
	 * Freezes the process for a time that its monotonic clock doesn't count.
	 * @param millis the duration
	 */
	void suspend(long millis) {
		if (this.alive && !frozen()) {
			this.simulation.trace("fault", "suspend process=" + this.name + " millis=" + millis);
			stopUntilResumed(millis, () -> this.suspendedMillis += millis);
		}
	}

	private void stopUntilResumed(long millis, Runnable beforeResuming) {
		this.frozenUntilMillis = this.simulation.nowMillis() + millis;
		int generationAtStop = this.generation;
		this.simulation.schedule(this.frozenUntilMillis, () -> {
			if (generationAtStop == this.generation) {
				beforeResuming.run();
				resume();
			}
		});
	}

	private void resume() {
		this.simulation.trace("fault", "resume process=" + this.name);
		List<Runnable> sends = List.copyOf(this.unsent);
		this.unsent.clear();
		sends.forEach(Runnable::run);
		List<Runnable> work = List.copyOf(this.overdueWork);
		this.overdueWork.clear();
		if (this.simulation.detailRandom.nextBoolean()) {
			work.forEach(Runnable::run);
			handleDeliveries();
		}
		else {
			handleDeliveries();
			work.forEach(this::deliver);
		}
	}

	private void handleDeliveries() {
		while (!frozen() && !this.deliveries.isEmpty()) {
			this.deliveries.remove().run();
		}
	}

	/**
	 * Handles an event, once the process is not frozen.
	 * @param event handles the event
	 */
	void deliver(Runnable event) {
		if (!this.alive) {
			return;
		}
		if (frozen() || !this.deliveries.isEmpty()) {
			this.deliveries.add(event);
		}
		else {
			event.run();
		}
	}

	/**
	 * Hands data to the network, once the process is not frozen.
	 * @param send sends the data
	 */
	void transmit(Runnable send) {
		if (this.nextTransmissionFreezeMillis > 0) {
			long millis = this.nextTransmissionFreezeMillis;
			this.nextTransmissionFreezeMillis = 0;
			freeze(millis);
		}
		if (frozen()) {
			this.unsent.add(send);
		}
		else {
			send.run();
		}
	}

	/**
	 * Freezes the process after its next decision to send something and before the data
	 * leaves it.
	 * @param millis the duration
	 */
	void freezeAtNextTransmission(long millis) {
		this.nextTransmissionFreezeMillis = millis;
	}

	/**
	 * Repeats work until the process is killed.
	 * @param delayMillis time until the first execution
	 * @param work does the work and returns the time until its next execution
	 */
	void repeat(long delayMillis, LongSupplier work) {
		int generationAtStart = this.generation;
		long[] intervalMillis = { delayMillis };
		Runnable execution = () -> intervalMillis[0] = work.getAsLong();
		this.simulation.scheduleAfter(delayMillis, new Runnable() {

			@Override
			public void run() {
				if (generationAtStart != SimulatedProcess.this.generation) {
					return;
				}
				if (frozen()) {
					SimulatedProcess.this.overdueWork.add(execution);
				}
				else {
					execution.run();
				}
				SimulatedProcess.this.simulation.scheduleAfter(intervalMillis[0], this);
			}

		});
	}

	void kill() {
		this.simulation.trace("fault", "kill process=" + this.name);
		this.alive = false;
		this.generation++;
		this.deliveries.clear();
		this.unsent.clear();
		this.overdueWork.clear();
		this.frozenUntilMillis = 0;
		this.nextTransmissionFreezeMillis = 0;
	}

}
