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
 * Writes log lines on a thread of its own, so that logging never waits for the reader of
 * standard output. Lines over the rate, or for which the queue has no place, are dropped,
 * and the next line that is written is preceded by their number. Example: 2,900 lines
 * come in one second; 2,000 are written at once, 300 more over the second, and
 * {@code log: dropped lines=600} tells of the rest.
 * <p>
 * It stands below the simple logger of the Log4j API, since starting Log4j's core takes a
 * third of the start of a process. Invariant: a line is written whole or not at all. Safe
 * for any thread.
 */
public final class AsyncLogStream extends OutputStream {

	/** Lines written at once after a quiet time. */
	static final int BURST_LINES = 2_000;

	/** Lines a second over a longer time; two lines for each of 150 jobs. */
	static final int LINES_PER_SECOND = 300;

	private static final int QUEUE_LINES = 2_048;

	private static final String SIMPLE_LOGGERS = "org.apache.logging.log4j.simple.SimpleLoggerContextFactory";

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final long MILLIS_PER_DAY = 86_400 * MILLIS_PER_SECOND;

	private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_LINES);

	private final AtomicLong dropped = new AtomicLong();

	private final OutputStream target;

	private final LongSupplier clockMillis;

	private final LongSupplier dayMillis;

	private final ThreadLocal<ByteArrayOutputStream> partial = ThreadLocal.withInitial(ByteArrayOutputStream::new);

	private double allowed = BURST_LINES;

	private long allowedMillis;

	/**
	 * Create a stream of lines.
	 * @param target where lines are written
	 * @param clockMillis a steady clock
	 * @param dayMillis the time of day
	 */
	AsyncLogStream(OutputStream target, LongSupplier clockMillis, LongSupplier dayMillis) {
		this.target = target;
		this.clockMillis = clockMillis;
		this.dayMillis = dayMillis;
		this.allowedMillis = clockMillis.getAsLong();
	}

	/**
	 * Send the log lines of this process through a queue. Has to be called before the
	 * first logger is created.
	 * @param level level of the lines, null for {@code INFO}
	 * @return the lines, to be drained before the process ends
	 */
	public static AsyncLogStream install(String level) {
		System.setProperty("log4j2.loggerContextFactory", SIMPLE_LOGGERS);
		simpleLogger("level", (level != null) ? level : "INFO");
		simpleLogger("logFile", "system.out");
		simpleLogger("showlogname", "false");
		simpleLogger("showShortLogname", "false");
		AsyncLogStream lines = new AsyncLogStream(System.out, () -> System.nanoTime() / 1_000_000,
				System::currentTimeMillis);
		System.setOut(new PrintStream(lines, false, StandardCharsets.UTF_8));
		Thread writer = new Thread(lines::writeAll, "log");
		writer.setDaemon(true);
		writer.start();
		return lines;
	}

	private static void simpleLogger(String property, String value) {
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
			line.writeBytes(time(this.dayMillis.getAsLong()).getBytes(StandardCharsets.US_ASCII));
		}
		line.write(bytes, offset, length);
		if (length > 0 && bytes[offset + length - 1] == '\n') {
			offer(line.toByteArray());
			line.reset();
		}
	}

	/**
	 * Write a time of day as the beginning of a line. A formatter of the JDK would load
	 * the data of a locale at each start.
	 * @param dayMillis the time
	 * @return hours, minutes, seconds and milliseconds, UTC
	 */
	static String time(long dayMillis) {
		long millis = Math.floorMod(dayMillis, MILLIS_PER_DAY);
		long seconds = millis / MILLIS_PER_SECOND;
		return two(seconds / 3600) + ":" + two(seconds / 60 % 60) + ":" + two(seconds % 60) + "." + (millis / 100 % 10)
				+ two(millis % 100) + " ";
	}

	private static String two(long number) {
		return (number < 10) ? "0" + number : Long.toString(number);
	}

	private void offer(byte[] line) {
		if (!allow() || !this.queue.offer(line)) {
			this.dropped.incrementAndGet();
		}
	}

	private synchronized boolean allow() {
		long now = this.clockMillis.getAsLong();
		double more = (double) (now - this.allowedMillis) * LINES_PER_SECOND / MILLIS_PER_SECOND;
		this.allowed = Math.min(BURST_LINES, this.allowed + more);
		this.allowedMillis = now;
		if (this.allowed < 1) {
			return false;
		}
		this.allowed--;
		return true;
	}

	private void writeAll() {
		try {
			while (true) {
				emit(this.queue.take());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** Write what waits, on the calling thread. */
	public void drain() {
		for (byte[] line = this.queue.poll(); line != null; line = this.queue.poll()) {
			emit(line);
		}
	}

	private synchronized void writeOut(byte[] line) throws IOException {
		this.target.write(line);
		this.target.flush();
	}

	private void emit(byte[] line) {
		try {
			long lost = this.dropped.getAndSet(0);
			if (lost > 0) {
				writeOut((time(this.dayMillis.getAsLong()) + "WARN log: dropped lines=" + lost + "\n")
					.getBytes(StandardCharsets.UTF_8));
			}
			writeOut(line);
		}
		catch (IOException ex) {
			// Standard output is closed, and there is nobody left to tell.
			this.dropped.incrementAndGet();
		}
	}

}
