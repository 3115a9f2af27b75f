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
 * Shuts a daemon down gracefully. The first SIGTERM or SIGINT starts to drain it. A
 * second signal ends the process at once, and the drain timeout ends the wait; in both
 * cases the log names the work that was abandoned. Safe for any thread.
 */
final class Shutdown {

	private static final Logger LOG = LogManager.getLogger(Shutdown.class);

	private static final long POLL_MILLIS = 20;

	private static final int FORCED_EXIT_STATUS = 130;

	private final String component;

	private final long drainTimeoutMillis;

	private final Runnable drain;

	private final BooleanSupplier drained;

	private final Supplier<String> remaining;

	private final AtomicInteger signalCount = new AtomicInteger();

	private final CountDownLatch signalReceived = new CountDownLatch(1);

	Shutdown(String component, long drainTimeoutMillis, Runnable drain, BooleanSupplier drained,
			Supplier<String> remaining) {
		this.component = component;
		this.drainTimeoutMillis = drainTimeoutMillis;
		this.drain = drain;
		this.drained = drained;
		this.remaining = remaining;
	}

	/** Waits for a signal and drains. Blocks, so it is called on the main thread only. */
	void await() {
		Signal.handle(new Signal("TERM"), (signal) -> onSignal());
		Signal.handle(new Signal("INT"), (signal) -> onSignal());
		try {
			this.signalReceived.await();
			LOG.info("{}: draining, at most {} ms.", this.component, this.drainTimeoutMillis);
			this.drain.run();
			awaitDrained();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void onSignal() {
		if (this.signalCount.incrementAndGet() > 1) {
			LOG.warn("{}: ended by a second signal, abandoned: {}.", this.component, this.remaining.get());
			LogManager.shutdown();
			Runtime.getRuntime().halt(FORCED_EXIT_STATUS);
		}
		this.signalReceived.countDown();
	}

	private void awaitDrained() throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.drainTimeoutMillis);
		while (!this.drained.getAsBoolean()) {
			if (System.nanoTime() > deadlineNanos) {
				LOG.warn("{}: drain timeout reached, abandoned: {}.", this.component, this.remaining.get());
				return;
			}
			TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
		}
		LOG.info("{}: drained, nothing was abandoned.", this.component);
	}

}
