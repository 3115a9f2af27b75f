package org.baobabspar.daemon;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import sun.misc.Signal;

/**
 * Ends a daemon in order: the first SIGTERM or SIGINT starts to drain it, a second one or
 * the bound ends it at once, and the log says what was cut. Safe for any thread.
 */
final class Shutdown {

	private static final Logger LOG = LogManager.getLogger(Shutdown.class);

	private static final long POLL_MILLIS = 20;

	private static final int FORCED_EXIT = 130;

	private final String part;

	private final long boundMillis;

	private final Runnable drain;

	private final BooleanSupplier drained;

	private final Supplier<String> remaining;

	private final AtomicInteger signals = new AtomicInteger();

	private final CountDownLatch asked = new CountDownLatch(1);

	Shutdown(String part, long boundMillis, Runnable drain, BooleanSupplier drained, Supplier<String> remaining) {
		this.part = part;
		this.boundMillis = boundMillis;
		this.drain = drain;
		this.drained = drained;
		this.remaining = remaining;
	}

	/** Wait for a signal and drain. Called on the main thread, which may block. */
	void await() {
		Signal.handle(new Signal("TERM"), (s) -> signalled());
		Signal.handle(new Signal("INT"), (s) -> signalled());
		try {
			this.asked.await();
			LOG.info("{}: draining, at most {} ms.", this.part, this.boundMillis);
			this.drain.run();
			awaitDrained();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void signalled() {
		if (this.signals.incrementAndGet() > 1) {
			LOG.warn("{}: ended by a second signal, cut: {}.", this.part, this.remaining.get());
			LogManager.shutdown();
			Runtime.getRuntime().halt(FORCED_EXIT);
		}
		this.asked.countDown();
	}

	private void awaitDrained() throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.boundMillis);
		while (!this.drained.getAsBoolean()) {
			if (System.nanoTime() > end) {
				LOG.warn("{}: ended by its bound, cut: {}.", this.part, this.remaining.get());
				return;
			}
			TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
		}
		LOG.info("{}: drained, nothing was cut.", this.part);
	}

}
