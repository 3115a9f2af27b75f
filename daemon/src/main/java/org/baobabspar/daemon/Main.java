package org.baobabspar.daemon;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;

/**
 * Entry point of the program {@code baobabspar}. Stateless.
 */
public final class Main {

	private static final int EXIT_FAILURE = 1;

	private static final int EXIT_USAGE = 2;

	private static final Map<String, String> SUMMARIES = Map.of("entry", "run an entry", "agent", "run an agent", "env",
			"validate, publish, promote, show, diff and list environment documents", "submit",
			"submit jobs from a file", "status", "show the status of an entry", "settle",
			"settle the usage of a month");

	private Main() {
	}

	/**
	 * Runs a command.
	 * @param args the command and its flags
	 */
	public static void main(String[] args) {
		System.exit(run(List.of(args), System.getenv(), System.out, System.err));
	}

	static int run(List<String> args, Map<String, String> env, PrintStream out, PrintStream err) {
		if (args.isEmpty() || args.get(0).equals("--help")) {
			printUsage(args.isEmpty() ? err : out);
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
			return (ex.code() == ResultCode.SETTING_INVALID) ? EXIT_USAGE : EXIT_FAILURE;
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
		if (printHelp("entry", EntryDaemon.SETTINGS, args, out)) {
			return 0;
		}
		EntryDaemon daemon = new EntryDaemon(Settings.read(EntryDaemon.SETTINGS, args, env));
		daemon.start();
		daemon.await();
		return 0;
	}

	private static int agent(List<String> args, Map<String, String> env, PrintStream out) {
		if (printHelp("agent", AgentDaemon.SETTINGS, args, out)) {
			return 0;
		}
		AgentDaemon daemon = new AgentDaemon(Settings.read(AgentDaemon.SETTINGS, args, env));
		daemon.start();
		daemon.await();
		return 0;
	}

	/**
	 * Prints the help or the version if the flags of a command request it.
	 * @param command the command
	 * @param settings its settings
	 * @param args its flags
	 * @param out where to print
	 * @return {@code true} if something was printed
	 */
	static boolean printHelp(String command, List<Setting> settings, List<String> args, PrintStream out) {
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
		String version = Main.class.getPackage().getImplementationVersion();
		return (version != null) ? version : "0.1.0";
	}

	private static void printUsage(PrintStream stream) {
		stream.println("baobabspar COMMAND [flags]");
		for (String command : Arrays.asList("entry", "agent", "env", "submit", "status", "settle")) {
			stream.printf("  %-8s %s%n", command, SUMMARIES.get(command));
		}
		stream.println("Each command has --help and --version.");
	}

}
