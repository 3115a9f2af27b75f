package org.baobabspar.wire;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of the times at which {@link Links} dials a process that is down. Guards against
 * a restarted process that is up and gets no links, as after a loss of many processes at
 * once, when the dials have gone on for seconds.
 */
public class LinkRetryTests {

	private static final long LONGEST_START_MILLIS = 10_000;

	private static final long MAX_WAIT_MILLIS = 200;

	@Test
	void processIsDialledSoonAfterItsStartHoweverLongThatTakes() {
		long dialMillis = 0;
		for (long delay = Links.MIN_RETRY_MILLIS; dialMillis < LONGEST_START_MILLIS; delay = Links
			.nextRetryMillis(delay)) {
			Assert.assertTrue(delay <= MAX_WAIT_MILLIS, "no dial from " + dialMillis + " to " + (dialMillis + delay));
			dialMillis += delay;
		}
	}

	@Test
	void delaysGrowUpToTheBound() {
		Assert.assertEquals(Links.nextRetryMillis(Links.MIN_RETRY_MILLIS), 56);
		Assert.assertEquals(Links.nextRetryMillis(Links.MAX_RETRY_MILLIS), Links.MAX_RETRY_MILLIS);
	}

}
