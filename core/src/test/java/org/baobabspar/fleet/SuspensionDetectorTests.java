package org.baobabspar.fleet;

import java.util.OptionalLong;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of {@link SuspensionDetector}.
 */
public class SuspensionDetectorTests {

	private static final long MIN_SUSPENSION_MILLIS = 100;

	private static final long WINDOW_MILLIS = 1_000;

	private static final long LEAD_MILLIS = 40_000;

	private SuspensionDetector detector;

	private long nowMillis;

	@BeforeMethod
	void create() {
		this.detector = new SuspensionDetector(MIN_SUSPENSION_MILLIS, WINDOW_MILLIS);
		this.nowMillis = 5_000;
		observe("a", 0);
		observe("b", 0);
	}

	private OptionalLong observe(String peer, long leadChangeMillis) {
		long askedMillis = this.nowMillis;
		return this.detector.observe(peer, askedMillis, this.nowMillis + LEAD_MILLIS + leadChangeMillis,
				this.nowMillis);
	}

	private OptionalLong observeLate(String peer, long delayMillis) {
		long askedMillis = this.nowMillis - delayMillis;
		return this.detector.observe(peer, askedMillis, askedMillis + LEAD_MILLIS, this.nowMillis);
	}

	// Guards against a lease that a suspended VM takes for valid after it has expired.
	@Test
	void peerThatRunsAheadShowsSuspension() {
		this.nowMillis += 10;
		Assert.assertEquals(observe("a", 2_400), OptionalLong.of(2_400));
	}

	@Test
	void suspensionIsDetectedOnce() {
		observe("a", 2_400);
		Assert.assertEquals(observe("b", 2_400), OptionalLong.empty());
		Assert.assertEquals(observe("a", 2_400), OptionalLong.empty());
	}

	@Test
	void secondSuspensionIsDetected() {
		observe("a", 2_400);
		this.nowMillis += 50;
		Assert.assertEquals(observe("b", 2_900), OptionalLong.of(500));
	}

	@Test
	void lateMessageIsNoSuspension() {
		observeLate("a", 3_000);
		Assert.assertEquals(observe("a", 0), OptionalLong.empty());
	}

	@Test
	void lateMessageAfterLongSilenceIsNoSuspension() {
		this.nowMillis += 10 * WINDOW_MILLIS;
		observeLate("a", 3_000);
		Assert.assertEquals(observe("a", 0), OptionalLong.empty());
	}

	@Test
	void slowClockOfPeerHidesNoSuspension() {
		for (int i = 1; i <= 200; i++) {
			this.nowMillis += 100;
			observe("a", -2 * i);
		}
		this.nowMillis += 100;
		Assert.assertTrue(observe("a", -400 + 200).isPresent());
	}

	// Guards against jobs that are declined for an odd time in a message.
	@Test
	void timeAheadOfTheOwnClockProvesNothing() {
		this.detector.observe("c", this.nowMillis + 50_000, this.nowMillis + LEAD_MILLIS, this.nowMillis);
		this.nowMillis += 10;
		Assert.assertEquals(observe("c", 0), OptionalLong.empty());
	}

	@Test
	void forgottenPeerStartsAnew() {
		this.detector.forget("a");
		Assert.assertEquals(observe("a", 90_000), OptionalLong.empty());
	}

}
