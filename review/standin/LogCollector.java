import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Reads the standard output of a process into a file, and stands still when told to. */
final class LogCollector {

	private final InputStream from;

	private final Path to;

	private boolean reading = true;

	LogCollector(InputStream from, Path to) {
		this.from = from;
		this.to = to;
		Thread thread = new Thread(this::copy);
		thread.setDaemon(true);
		thread.start();
	}

	synchronized void setReading(boolean newReading) {
		this.reading = newReading;
		notifyAll();
	}

	private synchronized void awaitReading() throws InterruptedException {
		while (!this.reading) {
			wait();
		}
	}

	private void copy() {
		byte[] buffer = new byte[8_192];
		try (OutputStream out = Files.newOutputStream(this.to, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
			for (int n = this.from.read(buffer); n > 0; n = this.from.read(buffer)) {
				out.write(buffer, 0, n);
				awaitReading();
			}
		}
		catch (IOException ex) {
			// The process has ended.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
