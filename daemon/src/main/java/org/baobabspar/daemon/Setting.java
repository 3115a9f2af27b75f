package org.baobabspar.daemon;

import java.util.Locale;

/**
 * One setting of a program: a flag and an environment variable. Immutable.
 * <p>
 * Invariant: the flag {@code --heartbeat-millis} and the variable
 * {@code BAOBABSPAR_HEARTBEAT_MILLIS} name the same setting; the flag goes first.
 *
 * @param name the name of the flag
 * @param kind what values it takes
 * @param standard the value if none is given, {@code null} if one is required
 * @param low the lowest number, or the least length of a text
 * @param high the highest number, or the greatest length of a text
 * @param unit the unit
 * @param help what it does
 */
public record Setting(String name, Kind kind, String standard, long low, long high, String unit, String help) {

	private static final int MAX_TEXT = 4096;

	/**
	 * Describe a number.
	 * @param name the name of the flag
	 * @param standard the value if none is given
	 * @param low the lowest value
	 * @param high the highest value
	 * @param unit the unit
	 * @param help what it does
	 * @return the setting
	 */
	public static Setting number(String name, long standard, long low, long high, String unit, String help) {
		return new Setting(name, Kind.NUMBER, Long.toString(standard), low, high, unit, help);
	}

	/**
	 * Describe a text.
	 * @param name the name of the flag
	 * @param standard the value if none is given, {@code null} if one is required
	 * @param help what it does
	 * @return the setting
	 */
	public static Setting text(String name, String standard, String help) {
		return new Setting(name, Kind.TEXT, standard, (standard != null) ? 0 : 1, MAX_TEXT, "characters", help);
	}

	/**
	 * Describe a switch.
	 * @param name the name of the flag
	 * @param help what it does
	 * @return the setting
	 */
	public static Setting toggle(String name, String help) {
		return new Setting(name, Kind.TOGGLE, "false", 0, 0, "", help);
	}

	public String variable() {
		return "BAOBABSPAR_" + this.name.replace('-', '_').toUpperCase(Locale.ROOT);
	}

	/** What values a setting takes. Immutable. */
	public enum Kind {

		/** A whole number. */
		NUMBER {

			@Override
			String fault(Setting s, String value) {
				try {
					long n = Long.parseLong(value);
					return (n >= s.low() && n <= s.high()) ? "" : s.low() + " to " + s.high() + " " + s.unit();
				}
				catch (NumberFormatException ex) {
					return "a whole number, " + s.low() + " to " + s.high() + " " + s.unit();
				}
			}

		},

		/** A text. */
		TEXT {

			@Override
			String fault(Setting s, String value) {
				boolean fits = value.length() >= s.low() && value.length() <= s.high();
				return fits ? "" : s.low() + " to " + s.high() + " characters";
			}

		},

		/** On or off. */
		TOGGLE {

			@Override
			String fault(Setting s, String value) {
				return (value.equals("true") || value.equals("false")) ? "" : "true or false";
			}

		};

		/**
		 * Check a value.
		 * @param s the setting
		 * @param value the value
		 * @return what is allowed, or an empty text if the value is
		 */
		abstract String fault(Setting s, String value);

	}

}
