import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the milliseconds since the start. Thread-safe. */
final class Record implements AutoCloseable {

	private static final long START_NANOS = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	static long nowMillis() {
		return (System.nanoTime() - START_NANOS) / 1_000_000;
	}

	synchronized long add(String line) {
		long now = nowMillis();
		this.out.printf("%6d %s%n", now, line);
		this.out.flush();
		return now;
	}

	@Override
	public void close() {
		this.out.close();
	}

}
