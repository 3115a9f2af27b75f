package org.baobabspar.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of {@link RejectedInputs}.
 */
public class RejectedInputsTests {

	private final List<String> counted = new ArrayList<>();

	private final List<String> lines = new ArrayList<>();

	private final AtomicLong clockMillis = new AtomicLong();

	private final RejectedInputs rejected = new RejectedInputs(this.counted::add, this.lines::add,
			this.clockMillis::get);

	private void fail(String source, String name, byte[] value) {
		Assert.assertFalse(this.rejected.isolate(source, name, value, () -> {
			throw new CodedException(ResultCode.INVALID_FIELD, "port");
		}));
	}

	@Test
	void lineIsBoundedAndRateIsBounded() {
		fail("topic", "a\nb".repeat(1_000), new byte[1_000_000]);
		Assert.assertTrue(this.lines.get(0).length() < 300, this.lines.get(0));
		Assert.assertFalse(this.lines.get(0).contains("\n"), this.lines.get(0));
		Assert.assertTrue(this.lines.get(0).contains("count=1 code=101 reason=port bytes=1000000"), this.lines.get(0));
		for (int i = 1; i < 1_000; i++) {
			fail("topic", "k", new byte[0]);
		}
		Assert.assertEquals(this.lines.size(), RejectedInputs.BURST_LINES);
		this.clockMillis.addAndGet(RejectedInputs.LINE_INTERVAL_MILLIS);
		fail("topic", "k", new byte[0]);
		fail("topic", "k", new byte[0]);
		Assert.assertEquals(this.lines.size(), RejectedInputs.BURST_LINES + 1);
		Assert.assertTrue(this.lines.get(RejectedInputs.BURST_LINES).contains("count=1001"), this.lines.toString());
		fail("other", "k", new byte[0]);
		Assert.assertEquals(this.lines.size(), RejectedInputs.BURST_LINES + 2);
		Assert.assertEquals(this.counted.size(), 1_003);
	}

}
