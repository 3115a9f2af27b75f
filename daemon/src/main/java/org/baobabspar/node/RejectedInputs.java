package org.baobabspar.node;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.baobabspar.daemon.Control;
import org.baobabspar.model.CodedException;

/**
 * Records inputs of other writers that a reader has rejected and skipped: counts them by
 * source and logs them in bounded lines at a bounded rate. Each line carries the running
 * count of its source, which shows how many rejections were not logged.
 * <p>
 * Example: an odd record of a topic is read once and gives one line; an endpoint that
 * lists an odd run in each inventory gives {@value #BURST_LINES} lines and then one every
 * {@value #LINE_INTERVAL_MILLIS} ms.
 * <p>
 * Thread-safe.
 */
public final class RejectedInputs {

	private static final Logger LOG = LogManager.getLogger(RejectedInputs.class);

	/** Number of lines of a source that are not delayed. */
	static final int BURST_LINES = 10;

	/** Minimum interval between later lines of a source. */
	static final long LINE_INTERVAL_MILLIS = 10_000;

	/** Maximum number of characters of a name, a reason or a value in a line. */
	static final int MAX_TEXT_CHARS = 80;

	private final Consumer<String> counter;

	private final Consumer<String> lines;

	private final LongSupplier clockMillis;

	private final Map<String, Source> sources = new ConcurrentHashMap<>();

	/**
	 * Creates the record of a process.
	 * @param counter receives the source of each rejected input
	 */
	public RejectedInputs(Consumer<String> counter) {
		this(counter, LOG::warn, Control::monotonicMillis);
	}

	RejectedInputs(Consumer<String> counter, Consumer<String> lines, LongSupplier clockMillis) {
		this.counter = counter;
		this.lines = lines;
		this.clockMillis = clockMillis;
	}

	/**
	 * Runs an action for one input and records the input if the action fails, so that the
	 * inputs after it are still handled.
	 * @param source the kind of input, one of a fixed set
	 * @param name name of the input
	 * @param value the input
	 * @param action the action
	 * @return whether the action succeeded
	 */
	public boolean isolate(String source, String name, byte[] value, Runnable action) {
		return isolate(source, name, () -> value, action);
	}

	/**
	 * Does the same for an input whose bytes are needed only if the action fails.
	 * @param source the kind of input, one of a fixed set
	 * @param name name of the input
	 * @param value encodes the input
	 * @param action the action
	 * @return whether the action succeeded
	 */
	public boolean isolate(String source, String name, Supplier<byte[]> value, Runnable action) {
		try {
			action.run();
			return true;
		}
		catch (RuntimeException ex) {
			reject(source, name, value.get(), ex);
			return false;
		}
	}

	/**
	 * Records a rejected input.
	 * @param source the kind of input, one of a fixed set
	 * @param name name of the input
	 * @param value the input
	 * @param cause why it was rejected
	 */
	public void reject(String source, String name, byte[] value, RuntimeException cause) {
		this.counter.accept(source);
		long now = this.clockMillis.getAsLong();
		this.sources.computeIfAbsent(source, (s) -> new Source())
			.count(now)
			.ifLogged((count) -> this.lines.accept("input: rejected source=" + source + " name=" + printable(name)
					+ " count=" + count + " " + describe(cause) + " bytes=" + value.length + " value="
					+ printable(new String(value, 0, Math.min(MAX_TEXT_CHARS, value.length), StandardCharsets.UTF_8))));
	}

	private static String describe(RuntimeException cause) {
		String code = (cause instanceof CodedException coded) ? Integer.toString(coded.code().number())
				: cause.getClass().getSimpleName();
		return "code=" + code + " reason=" + printable(String.valueOf(cause.getMessage()));
	}

	private static String printable(String text) {
		StringBuilder printable = new StringBuilder();
		text.codePoints()
			.limit(MAX_TEXT_CHARS)
			.map((c) -> (Character.isISOControl(c) || !Character.isDefined(c)) ? '?' : c)
			.forEach(printable::appendCodePoint);
		return printable.toString();
	}

	/**
	 * The count and the log lines of one kind of input.
	 */
	private static final class Source {

		private long count;

		private int burstLines;

		private long lastLineMillis;

		synchronized Rejection count(long nowMillis) {
			this.count++;
			boolean inBurst = this.burstLines < BURST_LINES;
			boolean logged = inBurst || nowMillis - this.lastLineMillis >= LINE_INTERVAL_MILLIS;
			if (logged) {
				this.burstLines += inBurst ? 1 : 0;
				this.lastLineMillis = nowMillis;
			}
			return new Rejection(this.count, logged);
		}

	}

	/**
	 * One rejected input.
	 *
	 * @param count number of rejected inputs of the source up to this one
	 * @param logged whether a line is due
	 */
	private record Rejection(long count, boolean logged) {

		void ifLogged(Consumer<Long> line) {
			if (this.logged) {
				line.accept(this.count);
			}
		}

	}

}
