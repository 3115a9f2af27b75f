package org.baobabspar.daemon;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * The single thread on which all control state is read and written, and its clock.
 * Confining the state to one thread makes locks unnecessary. Safe for any thread.
 */
public final class Control implements AutoCloseable {

	private static final Logger LOG = LogManager.getLogger(Control.class);

	private final Scheduler scheduler;

	/**
	 * Creates the control thread.
	 * @param name its name
	 */
	public Control(String name) {
		this.scheduler = Schedulers.newSingle(name);
	}

	public Scheduler scheduler() {
		return this.scheduler;
	}

	/**
	 * Returns the time of the monotonic clock, which also advances while the process is
	 * stopped.
	 * @return milliseconds
	 */
	public long now() {
		return monotonicMillis();
	}

	/**
	 * Returns the time of the monotonic clock of this process.
	 * @return milliseconds since an arbitrary origin
	 */
	public static long monotonicMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	/**
	 * Runs a task on the control thread.
	 * @param task what to run; must not block
	 */
	public void run(Runnable task) {
		this.scheduler.schedule(task);
	}

	/**
	 * Computes a value on the control thread.
	 * @param task what to compute; must not block
	 * @param <T> the type of the value
	 * @return the value
	 */
	public <T> Mono<T> call(Callable<T> task) {
		return Mono.fromCallable(task).subscribeOn(this.scheduler);
	}

	/**
	 * Runs a task on the control thread at a fixed interval. A failed run is logged and
	 * does not end the schedule. Runs that fall due while the thread is busy are dropped.
	 * @param intervalMillis the interval
	 * @param task what to run; must not block
	 */
	public void every(long intervalMillis, Runnable task) {
		Flux.interval(Duration.ofMillis(intervalMillis), this.scheduler)
			.onBackpressureDrop()
			.subscribe((t) -> runLoggingErrors(task));
	}

	/**
	 * Runs a task on the control thread repeatedly, each time after a delay that the task
	 * itself returns. A failed run is logged and repeated after the previous delay.
	 * @param task what to run; must not block; returns the delay in milliseconds
	 */
	public void repeat(LongSupplier task) {
		AtomicLong delayMillis = new AtomicLong();
		Mono.defer(() -> Mono.delay(Duration.ofMillis(delayMillis.get()), this.scheduler))
			.doOnNext((t) -> runLoggingErrors(() -> delayMillis.set(task.getAsLong())))
			.repeat()
			.onErrorComplete(RejectedExecutionException.class)
			.subscribe();
	}

	private static void runLoggingErrors(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			LOG.error("control: task failed.", ex);
		}
	}

	@Override
	public void close() {
		this.scheduler.dispose();
	}

}
