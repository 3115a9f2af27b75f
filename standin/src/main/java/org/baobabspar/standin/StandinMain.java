package org.baobabspar.standin;

import java.util.List;

import org.baobabspar.daemon.Setting;
import org.baobabspar.daemon.Settings;
import org.baobabspar.model.CodedException;
import reactor.netty.resources.LoopResources;

/**
 * The program {@code baobabspar-standin}: runs a stand-in until it is ended. Stateless.
 */
public final class StandinMain {

	private static final int EXIT_FAULT = 1;

	private static final List<Setting> LOG = List.of(Setting.text("host", "127.0.0.1", "IP address to listen on"),
			Setting.number("port", 7000, 0, 65535, "port", "port to listen on"),
			Setting.number("retention-millis", 86_400_000, 100, Long.MAX_VALUE, "ms", "how long records are kept"));

	private static final List<Setting> ENDPOINT = List.of(Setting.text("host", "127.0.0.1", "IP address to listen on"),
			Setting.number("port", 9000, 0, 65535, "port", "port to listen on"),
			Setting.number("slowness-percent", 100, 1, 10_000, "%", "factor on the work of each task"),
			Setting.number("network-millis", 0, 0, 10_000, "ms", "delay added to each answer"));

	private StandinMain() {
	}

	/**
	 * Run a stand-in.
	 * @param args {@code log} or {@code endpoint}, and its flags
	 * @throws InterruptedException if interrupted
	 */
	public static void main(String[] args) throws InterruptedException {
		List<String> a = List.of(args);
		String name = a.isEmpty() ? "" : a.get(0);
		if (!name.equals("log") && !name.equals("endpoint") || a.contains("--help")) {
			System.out.println("baobabspar-standin log [flags]\n" + Settings.describe(LOG)
					+ "baobabspar-standin endpoint [flags]\n" + Settings.describe(ENDPOINT));
			return;
		}
		try {
			run(name, a.subList(1, a.size()));
		}
		catch (CodedException ex) {
			System.err.println("error " + ex.code().number() + " " + ex.code().name() + ": " + ex.getMessage());
			System.exit(EXIT_FAULT);
		}
		Thread.currentThread().join();
	}

	private static void run(String name, List<String> args) {
		Settings s = Settings.read(name.equals("log") ? LOG : ENDPOINT, args, System.getenv());
		LoopResources loops = LoopResources.create(name, 1, 1, false, true);
		int port;
		if (name.equals("log")) {
			port = new LogStandin(s.number("retention-millis")).start(s.text("host"), s.integer("port"), loops);
		}
		else {
			double slowness = s.number("slowness-percent") / 100.0;
			port = new EndpointStandin(slowness, s.number("network-millis")).start(s.text("host"), s.integer("port"),
					loops);
		}
		System.err.println(name + ": stand-in serves port " + port + ".");
	}

}
