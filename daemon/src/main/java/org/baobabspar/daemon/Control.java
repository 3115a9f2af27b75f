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
 * The one thread that reads and writes control state, and its clock. Safe for any thread.
 */
public final class Control implements AutoCloseable {

	private static final Logger LOG = LogManager.getLogger(Control.class);

	private final Scheduler scheduler;

	/**
	 * Create the control thread.
	 * @param name its name
	 */
	public Control(String name) {
		this.scheduler = Schedulers.newSingle(name);
	}

	public Scheduler scheduler() {
		return this.scheduler;
	}

	/**
	 * Return the monotonic clock, which goes on while the process is stopped.
	 * @return milliseconds
	 */
	public long now() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	/**
	 * Run something on the control thread.
	 * @param work what to run; must not block
	 */
	public void run(Runnable work) {
		this.scheduler.schedule(work);
	}

	/**
	 * Compute a value on the control thread.
	 * @param work what to compute; must not block
	 * @param <T> the type of the value
	 * @return the value
	 */
	public <T> Mono<T> call(Callable<T> work) {
		return Mono.fromCallable(work).subscribeOn(this.scheduler);
	}

	/**
	 * Run something on the control thread again and again, also after it has failed.
	 * @param millis the interval
	 * @param work what to run; must not block
	 */
	public void every(long millis, Runnable work) {
		Flux.interval(Duration.ofMillis(millis), this.scheduler).onBackpressureDrop().subscribe((t) -> guard(work));
	}

	/**
	 * Run something on the control thread again and again, each time after a pause that
	 * the work itself chooses, also after it has failed.
	 * @param work what to run; must not block; returns the pause in milliseconds
	 */
	public void repeat(LongSupplier work) {
		AtomicLong pauseMillis = new AtomicLong();
		Mono.defer(() -> Mono.delay(Duration.ofMillis(pauseMillis.get()), this.scheduler))
			.doOnNext((t) -> guard(() -> pauseMillis.set(work.getAsLong())))
			.repeat()
			.onErrorComplete(RejectedExecutionException.class)
			.subscribe();
	}

	private static void guard(Runnable work) {
		try {
			work.run();
		}
		catch (RuntimeException ex) {
			LOG.error("control: work failed.", ex);
		}
	}

	@Override
	public void close() {
		this.scheduler.dispose();
	}

}
