package org.baobabspar.node;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * An output stream that writes log lines asynchronously on a thread of its own, so that
 * logging never blocks on the reader of standard output. Lines that exceed the rate limit
 * or arrive when the queue is full are dropped, and their number is logged before the
 * next line. Example: of 2,900 lines in one second, 2,000 are written at once and 300
 * more during the second, and {@code log: dropped lines=600} reports the rest.
 * <p>
 * The stream is the target of the simple logger of the Log4j API, because initializing
 * Log4j Core takes a third of the start-up time of a process. Invariant: a line is
 * written completely or not at all. Thread-safe.
 */
public final class AsyncLogStream extends OutputStream {

	/** Maximum burst after a period without log lines. */
	static final int BURST_LINES = 2_000;

	/** Sustained rate, which allows two lines for each of 150 jobs a second. */
	static final int LINES_PER_SECOND = 300;

	private static final int QUEUE_LINES = 2_048;

	private static final String SIMPLE_LOGGER_FACTORY = "org.apache.logging.log4j.simple.SimpleLoggerContextFactory";

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final long MILLIS_PER_DAY = 86_400 * MILLIS_PER_SECOND;

	private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_LINES);

	private final AtomicLong dropped = new AtomicLong();

	private final OutputStream target;

	private final LongSupplier monotonicMillis;

	private final LongSupplier wallMillis;

	private final ThreadLocal<ByteArrayOutputStream> partial = ThreadLocal.withInitial(ByteArrayOutputStream::new);

	private double permits = BURST_LINES;

	private long permitsUpdatedMillis;

	/**
	 * Creates a stream.
	 * @param target the stream to which lines are written
	 * @param monotonicMillis a monotonic clock, used for the rate limit
	 * @param wallMillis the wall clock, used for time stamps
	 */
	AsyncLogStream(OutputStream target, LongSupplier monotonicMillis, LongSupplier wallMillis) {
		this.target = target;
		this.monotonicMillis = monotonicMillis;
		this.wallMillis = wallMillis;
		this.permitsUpdatedMillis = monotonicMillis.getAsLong();
	}

	/**
	 * Routes the log lines of this process through a queue. Must be called before the
	 * first logger is created.
	 * @param level the log level, null for {@code INFO}
	 * @return the stream, which must be drained before the process exits
	 */
	public static AsyncLogStream install(String level) {
		System.setProperty("log4j2.loggerContextFactory", SIMPLE_LOGGER_FACTORY);
		setSimpleLoggerProperty("level", (level != null) ? level : "INFO");
		setSimpleLoggerProperty("logFile", "system.out");
		setSimpleLoggerProperty("showlogname", "false");
		setSimpleLoggerProperty("showShortLogname", "false");
		AsyncLogStream stream = new AsyncLogStream(System.out, () -> System.nanoTime() / 1_000_000,
				System::currentTimeMillis);
		System.setOut(new PrintStream(stream, false, StandardCharsets.UTF_8));
		Thread writer = new Thread(stream::writeQueuedLines, "log");
		writer.setDaemon(true);
		writer.start();
		return stream;
	}

	private static void setSimpleLoggerProperty(String property, String value) {
		System.setProperty("org.apache.logging.log4j.simplelog." + property, value);
	}

	@Override
	public void write(int b) {
		write(new byte[] { (byte) b }, 0, 1);
	}

	@Override
	public void write(byte[] bytes, int offset, int length) {
		ByteArrayOutputStream line = this.partial.get();
		if (line.size() == 0) {
			line.writeBytes(timestamp(this.wallMillis.getAsLong()).getBytes(StandardCharsets.US_ASCII));
		}
		line.write(bytes, offset, length);
		if (length > 0 && bytes[offset + length - 1] == '\n') {
			offer(line.toByteArray());
			line.reset();
		}
	}

	/**
	 * Formats the time stamp at the beginning of a line. Formatters of the JDK are not
	 * used because they load locale data at each start.
	 * @param wallMillis milliseconds since the epoch
	 * @return hours, minutes, seconds and milliseconds in UTC, and a space
	 */
	static String timestamp(long wallMillis) {
		long millis = Math.floorMod(wallMillis, MILLIS_PER_DAY);
		long seconds = millis / MILLIS_PER_SECOND;
		return twoDigits(seconds / 3600) + ":" + twoDigits(seconds / 60 % 60) + ":" + twoDigits(seconds % 60) + "."
				+ (millis / 100 % 10) + twoDigits(millis % 100) + " ";
	}

	private static String twoDigits(long number) {
		return (number < 10) ? "0" + number : Long.toString(number);
	}

	private void offer(byte[] line) {
		if (!acquirePermit() || !this.queue.offer(line)) {
			this.dropped.incrementAndGet();
		}
	}

	private synchronized boolean acquirePermit() {
		long now = this.monotonicMillis.getAsLong();
		double refill = (double) (now - this.permitsUpdatedMillis) * LINES_PER_SECOND / MILLIS_PER_SECOND;
		this.permits = Math.min(BURST_LINES, this.permits + refill);
		this.permitsUpdatedMillis = now;
		if (this.permits < 1) {
			return false;
		}
		this.permits--;
		return true;
	}

	private void writeQueuedLines() {
		try {
			while (true) {
				writeWithDropNotice(this.queue.take());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Writes all queued lines before the process exits.
	 * @param maxMillis the longest time to wait for the reader of standard output
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void finish(long maxMillis) throws InterruptedException {
		Thread writer = new Thread(this::drain, "log-finish");
		writer.setDaemon(true);
		writer.start();
		writer.join(maxMillis);
	}

	/** Writes all queued lines on the calling thread. */
	void drain() {
		for (byte[] line = this.queue.poll(); line != null; line = this.queue.poll()) {
			writeWithDropNotice(line);
		}
	}

	/**
	 * Writes a line. May block for as long as nobody reads standard output, so it must
	 * not hold a monitor that a thread needs to log.
	 * @param line the line
	 * @throws IOException if standard output is closed
	 */
	private void writeOut(byte[] line) throws IOException {
		synchronized (this.target) {
			this.target.write(line);
			this.target.flush();
		}
	}

	private void writeWithDropNotice(byte[] line) {
		try {
			long droppedLines = this.dropped.getAndSet(0);
			if (droppedLines > 0) {
				writeOut((timestamp(this.wallMillis.getAsLong()) + "WARN log: dropped lines=" + droppedLines + "\n")
					.getBytes(StandardCharsets.UTF_8));
			}
			writeOut(line);
		}
		catch (IOException ex) {
			// Standard output is closed, so the failure cannot be reported.
			this.dropped.incrementAndGet();
		}
	}

}
