import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the time since the start. Safe for any thread. */
final class Record {

	private static final long ORIGIN_NANOS = System.nanoTime();

	private final PrintWriter file;

	Record(Path path) {
		try {
			this.file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static long millis() {
		return (System.nanoTime() - ORIGIN_NANOS) / 1_000_000;
	}

	synchronized void add(String line) {
		this.file.println(String.format("%8.3f %s", millis() / 1000.0, line));
		this.file.flush();
	}

}
