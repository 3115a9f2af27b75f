import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to the record of a case, with the time since the start. Thread-safe. */
final class Record {

	private final PrintWriter out;

	private final long startNanos = System.nanoTime();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file), true);
	}

	long millis() {
		return (System.nanoTime() - this.startNanos) / 1_000_000;
	}

	synchronized void line(String text) {
		this.out.println(String.format("%7d %s", millis(), text));
	}

}
