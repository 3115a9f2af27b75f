package org.baobabspar.dispatch;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of {@link PathSilence}, which is created at 1 s and reads something then.
 */
public class PathSilenceTests {

	/** When a connection was served last that has been idle since. */
	private static final long OLD = 500;

	private final PathSilence silence = new PathSilence(1_000);

	@Test
	void requestIsNewWhileOthersArrive() {
		PathSilence busy = new PathSilence(1_000);
		for (long millis = 1_100; millis <= 5_000; millis += 100) {
			busy.recordRead(millis);
			Assert.assertEquals(busy.earliestSentMillis(OLD, millis), millis);
		}
	}

	// Guards against a request that is taken for a new one because a later one, which was
	// not transmitted twice, has arrived before it.
	@Test
	void requestMayBeAsOldAsTheSilenceForAsLongAfterIt() {
		this.silence.recordRead(4_000);
		this.silence.recordRead(4_010);
		Assert.assertEquals(this.silence.earliestSentMillis(OLD, 4_010), 1_000);
		Assert.assertEquals(this.silence.earliestSentMillis(OLD, 7_300), 1_000);
		Assert.assertEquals(this.silence.earliestSentMillis(OLD, 7_301), 7_301);
	}

	// Guards against a second cut that hides what the first one still holds up.
	@Test
	void requestMayBeAsOldAsTheFirstOfTwoSilences() {
		PathSilence twice = new PathSilence(1_000);
		twice.recordRead(4_000);
		twice.recordRead(5_000);
		Assert.assertEquals(twice.earliestSentMillis(OLD, 5_000), 1_000);
		Assert.assertEquals(twice.earliestSentMillis(OLD, 9_300), 1_000);
	}

	@Test
	void requestIsNewOnAConnectionThatWasServedSince() {
		PathSilence over = new PathSilence(1_000);
		over.recordRead(4_000);
		Assert.assertEquals(over.earliestSentMillis(3_000, 4_100), 3_000);
		Assert.assertEquals(over.earliestSentMillis(4_000, 4_100), 4_100);
	}

}
