package org.baobabspar.daemon;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;

/**
 * The checked settings of a program. All faults are reported together. Immutable and safe
 * for any thread.
 */
public final class Settings {

	private final Map<String, String> values;

	private final List<String> arguments;

	private Settings(Map<String, String> values, List<String> arguments) {
		this.values = Map.copyOf(values);
		this.arguments = List.copyOf(arguments);
	}

	/**
	 * Read settings from flags and environment variables.
	 * @param settings the settings that the program knows
	 * @param args the command line
	 * @param environment the environment variables
	 * @return the settings
	 * @throws CodedException with {@link ResultCode#SETTING_INVALID} naming every fault
	 */
	public static Settings read(List<Setting> settings, List<String> args, Map<String, String> environment) {
		OptionSet options = parse(settings, args);
		Map<String, String> values = new LinkedHashMap<>();
		List<String> faults = new ArrayList<>();
		for (Setting s : settings) {
			String v = value(s, options, environment);
			String fault = (v != null) ? s.kind().fault(s, v) : "";
			if (v == null) {
				faults.add("--" + s.name() + ": missing; " + s.help());
			}
			else if (!fault.isEmpty()) {
				faults.add("--" + s.name() + " (" + s.variable() + "): '" + v + "' is not " + fault);
			}
			else {
				values.put(s.name(), v);
			}
		}
		if (!faults.isEmpty()) {
			throw new CodedException(ResultCode.SETTING_INVALID, String.join("\n", faults));
		}
		return new Settings(values, options.nonOptionArguments().stream().map(String::valueOf).toList());
	}

	private static OptionSet parse(List<Setting> settings, List<String> args) {
		OptionParser parser = new OptionParser(false);
		for (Setting s : settings) {
			if (s.kind() == Setting.Kind.TOGGLE) {
				parser.accepts(s.name(), s.help());
			}
			else {
				parser.accepts(s.name(), s.help()).withRequiredArg();
			}
		}
		try {
			return parser.parse(args.toArray(String[]::new));
		}
		catch (OptionException ex) {
			throw new CodedException(ResultCode.SETTING_INVALID, ex.getMessage() + "; see --help", ex);
		}
	}

	private static String value(Setting s, OptionSet options, Map<String, String> environment) {
		if (options.has(s.name())) {
			List<?> given = options.valuesOf(s.name());
			return given.isEmpty() ? "true" : String.valueOf(given.get(given.size() - 1));
		}
		return environment.getOrDefault(s.variable(), s.standard());
	}

	/**
	 * Describe settings for {@code --help}.
	 * @param settings the settings
	 * @return a line for each
	 */
	public static String describe(List<Setting> settings) {
		StringBuilder b = new StringBuilder();
		for (Setting s : settings) {
			String standard = (s.standard() != null) ? "default " + s.standard() : "required";
			String range = (s.kind() == Setting.Kind.NUMBER) ? ", " + s.low() + " to " + s.high() + " " + s.unit() : "";
			b.append(String.format("  --%-24s %s (%s%s; %s)%n", s.name(), s.help(), standard, range, s.variable()));
		}
		return b.toString();
	}

	public String text(String name) {
		return this.values.get(name);
	}

	public long number(String name) {
		return Long.parseLong(this.values.get(name));
	}

	public int integer(String name) {
		return Math.toIntExact(number(name));
	}

	public boolean toggle(String name) {
		return Boolean.parseBoolean(this.values.get(name));
	}

	/**
	 * Split a list.
	 * @param name the setting
	 * @return its parts between commas, without empty ones
	 */
	public List<String> list(String name) {
		List<String> r = new ArrayList<>();
		for (String s : text(name).split(",")) {
			if (!s.isBlank()) {
				r.add(s.trim());
			}
		}
		return r;
	}

	public List<String> arguments() {
		return this.arguments;
	}

}
