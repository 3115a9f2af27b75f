package org.baobabspar.daemon;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of {@link Control}.
 */
public class ControlTests {

	@Test
	void periodicTaskContinuesAfterAFailure() throws InterruptedException {
		AtomicInteger runs = new AtomicInteger();
		CountDownLatch laterRuns = new CountDownLatch(3);
		try (Control control = new Control("control")) {
			control.every(1, () -> {
				if (runs.incrementAndGet() == 1) {
					throw new IllegalStateException("first run");
				}
				laterRuns.countDown();
			});
			Assert.assertTrue(laterRuns.await(60, TimeUnit.SECONDS));
		}
	}

	@Test
	void repeatedTaskStopsWhenControlIsClosed() throws InterruptedException {
		CompletableFuture<Thread> worker = new CompletableFuture<>();
		Control control = new Control("control");
		control.repeat(() -> {
			control.close();
			worker.complete(Thread.currentThread());
			return 0;
		});
		Thread thread = worker.orTimeout(60, TimeUnit.SECONDS).join();
		thread.join(TimeUnit.SECONDS.toMillis(60));
		Assert.assertFalse(thread.isAlive());
	}

	@Test
	void repeatedTaskContinuesAfterAFailure() throws InterruptedException {
		AtomicInteger runs = new AtomicInteger();
		CountDownLatch laterRuns = new CountDownLatch(3);
		try (Control control = new Control("control")) {
			control.repeat(() -> {
				if (runs.incrementAndGet() == 1) {
					throw new IllegalStateException("first run");
				}
				laterRuns.countDown();
				return 1;
			});
			Assert.assertTrue(laterRuns.await(60, TimeUnit.SECONDS));
		}
	}

}
