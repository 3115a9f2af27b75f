import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One of the project's programs as a process, started with the command of the deploy file. Thread-safe. */
final class Program {

	private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.]+)\\}\\}");

	private final String name;

	private final List<String> command;

	private final File log;

	private Process process;

	Program(String role, Map<String, String> settings, Path folder) throws IOException {
		this.name = settings.get("node");
		this.command = command(role, settings);
		this.log = folder.resolve(this.name + ".log").toFile();
	}

	private static List<String> command(String role, Map<String, String> settings) throws IOException {
		boolean inRole = false;
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("[")) {
				inRole = line.trim().equals("[roles." + role + "]");
			}
			else if (inRole && line.startsWith("run = \"")) {
				List<String> words = new ArrayList<>();
				for (String word : line.substring("run = \"".length(), line.lastIndexOf('"')).split(" ")) {
					words.add(fill(word, settings));
				}
				return words;
			}
		}
		throw new IOException("no role " + role + " in deploy/system.toml");
	}

	private static String fill(String word, Map<String, String> settings) throws IOException {
		Matcher m = PLACEHOLDER.matcher(word);
		StringBuilder filled = new StringBuilder();
		while (m.find()) {
			if (!settings.containsKey(m.group(1))) {
				throw new IOException("no value for " + m.group(1));
			}
			m.appendReplacement(filled, Matcher.quoteReplacement(settings.get(m.group(1))));
		}
		return m.appendTail(filled).toString();
	}

	synchronized void start() throws IOException {
		ProcessBuilder builder = new ProcessBuilder(this.command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log));
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		this.process = builder.start();
	}

	synchronized boolean running() {
		return this.process != null && this.process.isAlive();
	}

	synchronized String exit() {
		return running() ? "none" : Integer.toString(this.process.exitValue());
	}

	/** Sends SIGTERM, and SIGKILL after the grace period, as the platform does. */
	void terminate(long graceMillis) throws InterruptedException {
		this.process.destroy();
		if (!this.process.waitFor(graceMillis, TimeUnit.MILLISECONDS)) {
			this.process.destroyForcibly().waitFor();
		}
	}

	/** Sends a signal to the process, which was started here. */
	synchronized void signal(String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
	}

	synchronized void kill() {
		if (this.process != null) {
			this.process.destroyForcibly();
		}
	}

	@Override
	public String toString() {
		return this.name;
	}

}
