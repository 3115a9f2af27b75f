package org.baobabspar.standin;

import java.util.List;

import org.baobabspar.daemon.Setting;
import org.baobabspar.daemon.Settings;
import org.baobabspar.model.CodedException;
import reactor.netty.resources.LoopResources;

/**
 * The program {@code baobabspar-standin}: runs a stand-in until the process is
 * terminated. Stateless.
 */
public final class StandinMain {

	private static final int EXIT_FAILURE = 1;

	private static final List<Setting> LOG = List.of(Setting.text("host", "127.0.0.1", "IP address to listen on"),
			Setting.number("port", 7000, 0, 65535, "port", "port to listen on"),
			Setting.number("retention-millis", 86_400_000, 100, Long.MAX_VALUE, "ms", "retention period of records"));

	private static final List<Setting> ENDPOINT = List.of(Setting.text("host", "127.0.0.1", "IP address to listen on"),
			Setting.number("port", 9000, 0, 65535, "port", "port to listen on"),
			Setting.number("slowness-percent", 100, 1, 10_000, "%", "factor applied to the run time of each task"),
			Setting.number("network-millis", 0, 0, 10_000, "ms", "delay added to each response"));

	private StandinMain() {
	}

	/**
	 * Runs a stand-in.
	 * @param args {@code log} or {@code endpoint}, and its flags
	 * @throws InterruptedException if interrupted
	 */
	public static void main(String[] args) throws InterruptedException {
		List<String> arguments = List.of(args);
		String name = arguments.isEmpty() ? "" : arguments.get(0);
		if (!name.equals("log") && !name.equals("endpoint") || arguments.contains("--help")) {
			System.out.println("baobabspar-standin log [flags]\n" + Settings.describe(LOG)
					+ "baobabspar-standin endpoint [flags]\n" + Settings.describe(ENDPOINT));
			return;
		}
		try {
			run(name, arguments.subList(1, arguments.size()));
		}
		catch (CodedException ex) {
			System.err.println("error " + ex.code().number() + " " + ex.code().name() + ": " + ex.getMessage());
			System.exit(EXIT_FAILURE);
		}
		Thread.currentThread().join();
	}

	private static void run(String name, List<String> args) {
		Settings settings = Settings.read(name.equals("log") ? LOG : ENDPOINT, args, System.getenv());
		LoopResources loops = LoopResources.create(name, 1, 1, false, true);
		int port;
		if (name.equals("log")) {
			port = new LogStandin(settings.number("retention-millis")).start(settings.text("host"),
					settings.integer("port"), loops);
		}
		else {
			double slowness = settings.number("slowness-percent") / 100.0;
			port = new EndpointStandin(slowness, settings.number("network-millis")).start(settings.text("host"),
					settings.integer("port"), loops);
		}
		System.err.println(name + ": stand-in serves port " + port + ".");
	}

}
