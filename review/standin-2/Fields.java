import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads single fields of the flat JSON bodies that the agent sends. Stateless. */
final class Fields {

	private Fields() {
	}

	static String text(String body, String name) {
		Matcher m = Pattern.compile("\"" + name + "\":\"((?:[^\"\\\\]|\\\\.)*)\"").matcher(body);
		return m.find() ? m.group(1) : "";
	}

	static long number(String body, String name, long missing) {
		Matcher m = Pattern.compile("\"" + name + "\":(-?[0-9]+)").matcher(body);
		return m.find() ? Long.parseLong(m.group(1)) : missing;
	}

}
