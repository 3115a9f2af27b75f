import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small reader of JSON: maps, lists, strings, longs or doubles, booleans and null. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object read(String text) {
		return new Json(text).value();
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(String text) {
		return (Map<String, Object>) read(text);
	}

	static long number(Map<String, Object> object, String field) {
		Object value = object.get(field);
		return (value == null) ? 0 : ((Number) value).longValue();
	}

	private char next() {
		while (Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
		return this.text.charAt(this.at);
	}

	private Object value() {
		char c = next();
		if (c == '{') {
			return map();
		}
		if (c == '[') {
			return list();
		}
		if (c == '"') {
			return string();
		}
		int from = this.at;
		while (this.at < this.text.length() && ",]} \n\r\t".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(from, this.at);
		return switch (word) {
			case "true" -> true;
			case "false" -> false;
			case "null" -> null;
			default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
		};
	}

	private Map<String, Object> map() {
		Map<String, Object> map = new LinkedHashMap<>();
		this.at++;
		while (next() != '}') {
			if (next() == ',') {
				this.at++;
				next();
			}
			String name = string();
			next();
			this.at++;
			map.put(name, value());
		}
		this.at++;
		return map;
	}

	private List<Object> list() {
		List<Object> list = new ArrayList<>();
		this.at++;
		while (next() != ']') {
			if (next() == ',') {
				this.at++;
			}
			list.add(value());
		}
		this.at++;
		return list;
	}

	private String string() {
		StringBuilder out = new StringBuilder();
		this.at++;
		for (char c = this.text.charAt(this.at++); c != '"'; c = this.text.charAt(this.at++)) {
			if (c != '\\') {
				out.append(c);
				continue;
			}
			char escaped = this.text.charAt(this.at++);
			switch (escaped) {
				case 'n' -> out.append('\n');
				case 't' -> out.append('\t');
				case 'r' -> out.append('\r');
				case 'b' -> out.append('\b');
				case 'f' -> out.append('\f');
				case 'u' -> {
					out.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
					this.at += 4;
				}
				default -> out.append(escaped);
			}
		}
		return out.toString();
	}

}
