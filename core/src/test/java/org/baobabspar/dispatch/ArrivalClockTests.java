package org.baobabspar.dispatch;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of {@link ArrivalClock}.
 */
public class ArrivalClockTests {

	private static final long FREEZE_MILLIS = 5_000;

	private long nowMillis;

	private ArrivalClock clock;

	@BeforeMethod
	void createClock() {
		this.nowMillis = 1_000;
		this.clock = new ArrivalClock(() -> this.nowMillis);
		for (int i = 0; i < 10; i++) {
			tickAfter(ArrivalClock.TICK_MILLIS);
		}
	}

	private void tickAfter(long millis) {
		this.nowMillis += millis;
		this.clock.tick();
	}

	private RequestArrival readAfter(long millis) {
		this.nowMillis += millis;
		return this.clock.read(Long.MIN_VALUE);
	}

	@Test
	void requestOfAnIdleLoopHasNoDelay() {
		Assert.assertEquals(readAfter(ArrivalClock.TICK_MILLIS).maxUnreadMillis(), 0);
	}

	// Guards against a request that is taken for a new one when the process resumes.
	@Test
	void requestIsAsOldAsTheFreezeBeforeIt() {
		Assert.assertTrue(readAfter(FREEZE_MILLIS).maxUnreadMillis() >= FREEZE_MILLIS);
	}

	// Guards against a tick between the resumption and the read, as it happens if the
	// connection has to be accepted first.
	@Test
	void requestIsAsOldAsTheFreezeBeforeTheLastTicks() {
		tickAfter(FREEZE_MILLIS);
		tickAfter(ArrivalClock.TICK_MILLIS);
		Assert.assertTrue(readAfter(ArrivalClock.TICK_MILLIS).maxUnreadMillis() >= FREEZE_MILLIS);
	}

	@Test
	void requestsAfterTheFreezeHaveNoDelay() {
		tickAfter(FREEZE_MILLIS);
		tickAfter(ArrivalClock.TICK_MILLIS);
		tickAfter(ArrivalClock.TICK_MILLIS);
		Assert.assertEquals(readAfter(ArrivalClock.TICK_MILLIS).maxUnreadMillis(), 0);
	}

	// Guards against a loop that takes so long for each request that it ticks several
	// times before it has read all that waited.
	@Test
	void requestIsAsOldAsTheFreezeWhileTheBacklogIsRead() {
		tickAfter(FREEZE_MILLIS);
		for (int i = 0; i < 8; i++) {
			readAfter(10);
			tickAfter(ArrivalClock.TICK_MILLIS);
		}
		Assert.assertTrue(readAfter(10).maxUnreadMillis() >= FREEZE_MILLIS);
	}

	// Guards against a busy loop whose requests seem to be older and older.
	@Test
	void requestsOfABusyLoopHaveNoDelayOnceTheBacklogIsRead() {
		tickAfter(FREEZE_MILLIS);
		for (int i = 0; i < 20; i++) {
			readAfter(10);
			tickAfter(ArrivalClock.TICK_MILLIS);
		}
		Assert.assertEquals(readAfter(10).maxUnreadMillis(), 0);
	}

	// Guards against requests that are refused as too old, although they were sent just
	// now, because the loop has been slow since the start of a rush.
	@Test
	void requestsOfALongRushAreNotAsOldAsTheRush() {
		long slowMillis = 400;
		for (int i = 0; i < 100; i++) {
			readAfter(slowMillis);
			this.clock.tick();
		}
		Assert.assertTrue(readAfter(slowMillis).maxUnreadMillis() <= 1_000 + 4 * slowMillis);
	}

	// Guards against a freeze between the read of the head and that of the body.
	@Test
	void waitGoesOnAfterTheRead() {
		RequestArrival arrival = readAfter(ArrivalClock.TICK_MILLIS);
		Assert.assertEquals(arrival.maxWaitedMillis(this.nowMillis + FREEZE_MILLIS), FREEZE_MILLIS);
	}

}
