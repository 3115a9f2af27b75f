package org.baobabspar.daemon;

import java.util.Locale;

/**
 * Definition of one setting of a program: a flag and an environment variable. Immutable.
 * <p>
 * Invariant: the flag {@code --heartbeat-millis} and the variable
 * {@code BAOBABSPAR_HEARTBEAT_MILLIS} name the same setting; the flag takes precedence.
 *
 * @param name the name of the flag
 * @param kind the kind of its values
 * @param defaultValue the default value, {@code null} if one is required
 * @param low the lowest number, or the minimum length of a text
 * @param high the highest number, or the maximum length of a text
 * @param unit the unit
 * @param help the description for {@code --help}
 */
public record Setting(String name, Kind kind, String defaultValue, long low, long high, String unit, String help) {

	private static final int MAX_TEXT_LENGTH = 4096;

	/**
	 * Defines a numeric setting.
	 * @param name the name of the flag
	 * @param defaultValue the default value
	 * @param low the lowest value
	 * @param high the highest value
	 * @param unit the unit
	 * @param help the description for {@code --help}
	 * @return the setting
	 */
	public static Setting number(String name, long defaultValue, long low, long high, String unit, String help) {
		return new Setting(name, Kind.NUMBER, Long.toString(defaultValue), low, high, unit, help);
	}

	/**
	 * Defines a text setting.
	 * @param name the name of the flag
	 * @param defaultValue the default value, {@code null} if one is required
	 * @param help the description for {@code --help}
	 * @return the setting
	 */
	public static Setting text(String name, String defaultValue, String help) {
		return new Setting(name, Kind.TEXT, defaultValue, (defaultValue != null) ? 0 : 1, MAX_TEXT_LENGTH, "characters",
				help);
	}

	/**
	 * Defines a boolean setting.
	 * @param name the name of the flag
	 * @param help the description for {@code --help}
	 * @return the setting
	 */
	public static Setting toggle(String name, String help) {
		return new Setting(name, Kind.TOGGLE, "false", 0, 0, "", help);
	}

	public String variable() {
		return "BAOBABSPAR_" + this.name.replace('-', '_').toUpperCase(Locale.ROOT);
	}

	/** Kind of the values of a setting. Immutable. */
	public enum Kind {

		/** A whole number. */
		NUMBER {

			@Override
			String violation(Setting setting, String value) {
				try {
					long number = Long.parseLong(value);
					return (number >= setting.low() && number <= setting.high()) ? ""
							: setting.low() + " to " + setting.high() + " " + setting.unit();
				}
				catch (NumberFormatException ex) {
					return "a whole number, " + setting.low() + " to " + setting.high() + " " + setting.unit();
				}
			}

		},

		/** A text. */
		TEXT {

			@Override
			String violation(Setting setting, String value) {
				boolean lengthAllowed = value.length() >= setting.low() && value.length() <= setting.high();
				return lengthAllowed ? "" : setting.low() + " to " + setting.high() + " characters";
			}

		},

		/** A boolean, {@code true} or {@code false}. */
		TOGGLE {

			@Override
			String violation(Setting setting, String value) {
				return (value.equals("true") || value.equals("false")) ? "" : "true or false";
			}

		};

		/**
		 * Validates a value.
		 * @param setting the setting
		 * @param value the value
		 * @return the values that are allowed, or an empty text if the value is valid
		 */
		abstract String violation(Setting setting, String value);

	}

}
