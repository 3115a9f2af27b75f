package org.baobabspar.dispatch;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of {@link PathSilence}, which is created at 1 s and reads something then.
 */
public class PathSilenceTests {

	private final PathSilence silence = new PathSilence(1_000);

	@Test
	void requestIsNewWhileOthersArrive() {
		PathSilence busy = new PathSilence(1_000);
		for (long millis = 1_100; millis <= 5_000; millis += 100) {
			busy.recordRead(millis);
			Assert.assertEquals(busy.earliestSentMillis(millis), millis);
		}
	}

	// Guards against a request that is taken for a new one because a later one, which was
	// not transmitted twice, has arrived before it.
	@Test
	void requestMayBeAsOldAsTheSilenceForAsLongAfterIt() {
		this.silence.recordRead(4_000);
		this.silence.recordRead(4_010);
		Assert.assertEquals(this.silence.earliestSentMillis(4_010), 1_000);
		Assert.assertEquals(this.silence.earliestSentMillis(7_300), 1_000);
		Assert.assertEquals(this.silence.earliestSentMillis(7_301), 7_301);
	}

	// Guards against a second cut that hides what the first one still holds up.
	@Test
	void requestMayBeAsOldAsTheFirstOfTwoSilences() {
		PathSilence twice = new PathSilence(1_000);
		twice.recordRead(4_000);
		twice.recordRead(5_000);
		Assert.assertEquals(twice.earliestSentMillis(5_000), 1_000);
	}

}
