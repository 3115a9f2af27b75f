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
 * The validated settings of a program. All invalid settings are reported together.
 * Immutable and safe for any thread.
 */
public final class Settings {

	private final Map<String, String> values;

	private final List<String> arguments;

	private Settings(Map<String, String> values, List<String> arguments) {
		this.values = Map.copyOf(values);
		this.arguments = List.copyOf(arguments);
	}

	/**
	 * Reads settings from flags and environment variables; a flag takes precedence.
	 * @param settings the settings that the program accepts
	 * @param args the command line
	 * @param environment the environment variables
	 * @return the settings
	 * @throws CodedException with {@link ResultCode#SETTING_INVALID} naming every invalid
	 * setting
	 */
	public static Settings read(List<Setting> settings, List<String> args, Map<String, String> environment) {
		OptionSet options = parse(settings, args);
		Map<String, String> values = new LinkedHashMap<>();
		List<String> errors = new ArrayList<>();
		for (Setting setting : settings) {
			String value = valueOf(setting, options, environment);
			String violation = (value != null) ? setting.kind().violation(setting, value) : "";
			if (value == null) {
				errors.add("--" + setting.name() + ": missing; " + setting.help());
			}
			else if (!violation.isEmpty()) {
				errors
					.add("--" + setting.name() + " (" + setting.variable() + "): '" + value + "' is not " + violation);
			}
			else {
				values.put(setting.name(), value);
			}
		}
		if (!errors.isEmpty()) {
			throw new CodedException(ResultCode.SETTING_INVALID, String.join("\n", errors));
		}
		return new Settings(values, options.nonOptionArguments().stream().map(String::valueOf).toList());
	}

	private static OptionSet parse(List<Setting> settings, List<String> args) {
		OptionParser parser = new OptionParser(false);
		for (Setting setting : settings) {
			if (setting.kind() == Setting.Kind.TOGGLE) {
				parser.accepts(setting.name(), setting.help());
			}
			else {
				parser.accepts(setting.name(), setting.help()).withRequiredArg();
			}
		}
		try {
			return parser.parse(args.toArray(String[]::new));
		}
		catch (OptionException ex) {
			throw new CodedException(ResultCode.SETTING_INVALID, ex.getMessage() + "; see --help", ex);
		}
	}

	private static String valueOf(Setting setting, OptionSet options, Map<String, String> environment) {
		if (options.has(setting.name())) {
			List<?> flagValues = options.valuesOf(setting.name());
			return flagValues.isEmpty() ? "true" : String.valueOf(flagValues.get(flagValues.size() - 1));
		}
		return environment.getOrDefault(setting.variable(), setting.defaultValue());
	}

	/**
	 * Formats settings for {@code --help}.
	 * @param settings the settings
	 * @return one line for each setting
	 */
	public static String describe(List<Setting> settings) {
		StringBuilder text = new StringBuilder();
		for (Setting setting : settings) {
			String defaultText = (setting.defaultValue() != null) ? "default " + setting.defaultValue() : "required";
			String range = (setting.kind() == Setting.Kind.NUMBER)
					? ", " + setting.low() + " to " + setting.high() + " " + setting.unit() : "";
			text.append(String.format("  --%-24s %s (%s%s; %s)%n", setting.name(), setting.help(), defaultText, range,
					setting.variable()));
		}
		return text.toString();
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
	 * Splits the value of a setting into a list.
	 * @param name the name of the setting
	 * @return the trimmed, non-blank parts between commas
	 */
	public List<String> list(String name) {
		List<String> parts = new ArrayList<>();
		for (String part : text(name).split(",")) {
			if (!part.isBlank()) {
				parts.add(part.trim());
			}
		}
		return parts;
	}

	public List<String> arguments() {
		return this.arguments;
	}

}
