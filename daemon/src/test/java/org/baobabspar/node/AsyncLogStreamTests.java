package org.baobabspar.node;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Log lines under load: whole, bounded, and with a count of what was dropped.
 */
public class AsyncLogStreamTests {

	private final ByteArrayOutputStream target = new ByteArrayOutputStream();

	private long nowMillis;

	private AsyncLogStream lines;

	private PrintStream out;

	@BeforeMethod
	void createLines() {
		this.target.reset();
		this.nowMillis = 0;
		this.lines = new AsyncLogStream(this.target, () -> this.nowMillis, () -> 3_661_007 + this.nowMillis);
		this.out = new PrintStream(this.lines, false, StandardCharsets.UTF_8);
	}

	private List<String> written() {
		this.lines.drain();
		return this.target.toString(StandardCharsets.UTF_8).lines().toList();
	}

	@Test
	void aLineBeginsWithTheTime() {
		this.out.println("INFO entry: start");
		Assert.assertEquals(written(), List.of("01:01:01.007 INFO entry: start"));
	}

	@Test
	void aLineInPartsIsWrittenWhole() {
		this.out.print("INFO ");
		Assert.assertEquals(written(), List.of());
		this.out.println("agent: draining");
		Assert.assertEquals(written(), List.of("01:01:01.007 INFO agent: draining"));
	}

	@Test
	void linesOverTheRateAreCounted() {
		for (int i = 0; i < AsyncLogStream.BURST_LINES + 600; i++) {
			this.out.println("INFO line");
		}
		Assert.assertEquals(written().size(), 1 + AsyncLogStream.BURST_LINES);
		Assert.assertTrue(written().get(0).contains("dropped lines=600"), written().get(0));
	}

	@Test
	void theRateIsBoundedOverALongerTime() {
		int seconds = 20;
		for (int i = 0; i < seconds * 1_000; i++) {
			this.nowMillis = i;
			this.out.println("INFO line");
			this.lines.drain();
		}
		long count = written().stream().filter((l) -> l.endsWith("INFO line")).count();
		Assert.assertEquals(count, AsyncLogStream.BURST_LINES + seconds * AsyncLogStream.LINES_PER_SECOND, 2.0);
	}

}
