package org.baobabspar.node;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of {@link AsyncLogStream}: lines are written completely, their rate is limited,
 * and dropped lines are counted.
 */
public class AsyncLogStreamTests {

	private final ByteArrayOutputStream target = new ByteArrayOutputStream();

	private long nowMillis;

	private AsyncLogStream stream;

	private PrintStream out;

	@BeforeMethod
	void createStream() {
		this.target.reset();
		this.nowMillis = 0;
		this.stream = new AsyncLogStream(this.target, () -> this.nowMillis, () -> 3_661_007 + this.nowMillis);
		this.out = new PrintStream(this.stream, false, StandardCharsets.UTF_8);
	}

	private List<String> written() {
		this.stream.drain();
		return this.target.toString(StandardCharsets.UTF_8).lines().toList();
	}

	@Test
	void lineBeginsWithTimestamp() {
		this.out.println("INFO entry: start");
		Assert.assertEquals(written(), List.of("01:01:01.007 INFO entry: start"));
	}

	@Test
	void lineWrittenInPartsIsEmittedWhole() {
		this.out.print("INFO ");
		Assert.assertEquals(written(), List.of());
		this.out.println("agent: draining");
		Assert.assertEquals(written(), List.of("01:01:01.007 INFO agent: draining"));
	}

	@Test
	void droppedLinesAreCounted() {
		for (int i = 0; i < AsyncLogStream.BURST_LINES + 600; i++) {
			this.out.println("INFO line");
		}
		Assert.assertEquals(written().size(), 1 + AsyncLogStream.BURST_LINES);
		Assert.assertTrue(written().get(0).contains("dropped lines=600"), written().get(0));
	}

	@Test
	void sustainedRateIsLimited() {
		int seconds = 20;
		for (int i = 0; i < seconds * 1_000; i++) {
			this.nowMillis = i;
			this.out.println("INFO line");
			this.stream.drain();
		}
		long count = written().stream().filter((l) -> l.endsWith("INFO line")).count();
		Assert.assertEquals(count, AsyncLogStream.BURST_LINES + seconds * AsyncLogStream.LINES_PER_SECOND, 2.0);
	}

	/**
	 * A reader of standard output that has stopped reading, so that a write never
	 * returns.
	 */
	public static class StoppedReaders {

		private static final int TIMEOUT_SECONDS = 60;

		private final CountDownLatch writing = new CountDownLatch(1);

		private final CountDownLatch reading = new CountDownLatch(1);

		private final AsyncLogStream stream = new AsyncLogStream(new OutputStream() {

			@Override
			public void write(int b) throws IOException {
				StoppedReaders.this.writing.countDown();
				try {
					StoppedReaders.this.reading.await();
				}
				catch (InterruptedException ex) {
					throw new InterruptedIOException();
				}
			}

		}, () -> 0, () -> 0);

		private final PrintStream out = new PrintStream(this.stream, false, StandardCharsets.UTF_8);

		private final ExecutorService threads = Executors.newCachedThreadPool();

		private Void finish() throws InterruptedException {
			this.stream.finish(10);
			return null;
		}

		@BeforeClass
		void blockWriter() throws InterruptedException {
			this.out.println("INFO line");
			this.threads.submit(this.stream::drain);
			this.writing.await();
		}

		@AfterClass
		void stopThreads() {
			this.threads.shutdownNow();
		}

		// Guards against an entry that answers nothing while its log is not read.
		@Test
		void doNotBlockThreadsThatLog() throws Exception {
			this.threads.submit(() -> this.out.println("INFO line")).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}

		// Guards against a process that cannot exit while its log is not read.
		@Test
		void doNotBlockTheExit() throws Exception {
			this.threads.submit(this::finish).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}

	}

}
