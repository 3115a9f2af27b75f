package org.baobabspar.daemon;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;

/**
 * The program {@code baobabspar}. Stateless.
 */
public final class Main {

	private static final int EXIT_FAULT = 1;

	private static final int EXIT_USAGE = 2;

	private static final Map<String, String> SUMMARY = Map.of("entry", "run an entry", "agent", "run an agent", "env",
			"validate, publish, promote, show, diff and list environment documents", "submit",
			"submit jobs from a file", "status", "show what an entry knows", "settle", "settle the use of a month");

	private Main() {
	}

	/**
	 * Run a command.
	 * @param args the command and its flags
	 */
	public static void main(String[] args) {
		System.exit(run(List.of(args), System.getenv(), System.out, System.err));
	}

	static int run(List<String> args, Map<String, String> env, PrintStream out, PrintStream err) {
		if (args.isEmpty() || args.get(0).equals("--help")) {
			usage(args.isEmpty() ? err : out);
			return args.isEmpty() ? EXIT_USAGE : 0;
		}
		if (args.get(0).equals("--version")) {
			out.println("baobabspar " + version());
			return 0;
		}
		if (args.contains("--json-logs") || "true".equals(env.get("BAOBABSPAR_JSON_LOGS"))) {
			System.setProperty("log4j2.configurationFile", "log4j2-json.xml");
		}
		try {
			return command(args.get(0), args.subList(1, args.size()), env, out);
		}
		catch (CodedException ex) {
			err.println("error " + ex.code().number() + " " + ex.code().name() + ": " + ex.getMessage());
			return (ex.code() == ResultCode.SETTING_INVALID) ? EXIT_USAGE : EXIT_FAULT;
		}
	}

	private static int command(String name, List<String> args, Map<String, String> env, PrintStream out) {
		return switch (name) {
			case "entry" -> entry(args, env, out);
			case "agent" -> agent(args, env, out);
			case "env" -> EnvironmentCommand.run(args, env, out);
			case "submit" -> SubmitCommand.run(args, env, out);
			case "status" -> StatusCommand.run(args, env, out);
			case "settle" -> SettleCommand.run(args, env, out);
			default ->
				throw new CodedException(ResultCode.SETTING_INVALID, "unknown command '" + name + "'; see --help");
		};
	}

	private static int entry(List<String> args, Map<String, String> env, PrintStream out) {
		if (help("entry", EntryDaemon.SETTINGS, args, out)) {
			return 0;
		}
		EntryDaemon d = new EntryDaemon(Settings.read(EntryDaemon.SETTINGS, args, env));
		d.start();
		d.await();
		return 0;
	}

	private static int agent(List<String> args, Map<String, String> env, PrintStream out) {
		if (help("agent", AgentDaemon.SETTINGS, args, out)) {
			return 0;
		}
		AgentDaemon d = new AgentDaemon(Settings.read(AgentDaemon.SETTINGS, args, env));
		d.start();
		d.await();
		return 0;
	}

	/**
	 * Print help or the version if a command's flags ask for it.
	 * @param command the command
	 * @param settings its settings
	 * @param args its flags
	 * @param out where to print
	 * @return {@code true} if something was printed
	 */
	static boolean help(String command, List<Setting> settings, List<String> args, PrintStream out) {
		if (args.contains("--version")) {
			out.println("baobabspar " + version());
			return true;
		}
		if (args.contains("--help")) {
			out.println("baobabspar " + command + " [flags]");
			out.print(Settings.describe(settings));
			return true;
		}
		return false;
	}

	private static String version() {
		String v = Main.class.getPackage().getImplementationVersion();
		return (v != null) ? v : "0.1.0";
	}

	private static void usage(PrintStream s) {
		s.println("baobabspar COMMAND [flags]");
		for (String c : Arrays.asList("entry", "agent", "env", "submit", "status", "settle")) {
			s.printf("  %-8s %s%n", c, SUMMARY.get(c));
		}
		s.println("Each command has --help and --version.");
	}

}
