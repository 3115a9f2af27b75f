import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, numbers and booleans. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(String text) {
		return (Map<String, Object>) new Json(text).value();
	}

	static long number(Map<String, Object> object, String field, long missing) {
		Object value = object.get(field);
		return (value instanceof Number n) ? n.longValue() : missing;
	}

	private Object value() {
		skipSpaces();
		char first = this.text.charAt(this.at);
		return switch (first) {
			case '{' -> readObject();
			case '[' -> readArray();
			case '"' -> readString();
			default -> readWord();
		};
	}

	private Map<String, Object> readObject() {
		Map<String, Object> object = new LinkedHashMap<>();
		this.at++;
		skipSpaces();
		while (this.text.charAt(this.at) != '}') {
			String name = readString();
			skipSpaces();
			this.at++;
			object.put(name, value());
			skipSeparator();
		}
		this.at++;
		return object;
	}

	private List<Object> readArray() {
		List<Object> array = new ArrayList<>();
		this.at++;
		skipSpaces();
		while (this.text.charAt(this.at) != ']') {
			array.add(value());
			skipSeparator();
		}
		this.at++;
		return array;
	}

	private String readString() {
		StringBuilder out = new StringBuilder();
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			char c = this.text.charAt(this.at++);
			if (c == '\\') {
				c = this.text.charAt(this.at++);
				if (c == 'u') {
					c = (char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16);
					this.at += 4;
				}
				else if (c == 'n') {
					c = '\n';
				}
				else if (c == 't') {
					c = '\t';
				}
			}
			out.append(c);
		}
		this.at++;
		return out.toString();
	}

	private Object readWord() {
		int start = this.at;
		while (this.at < this.text.length() && ",]} \n\r\t".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(start, this.at);
		return switch (word) {
			case "true" -> Boolean.TRUE;
			case "false" -> Boolean.FALSE;
			case "null" -> null;
			default -> word.contains(".") ? (Object) Double.valueOf(word) : (Object) Long.valueOf(word);
		};
	}

	private void skipSeparator() {
		skipSpaces();
		if (this.text.charAt(this.at) == ',') {
			this.at++;
			skipSpaces();
		}
	}

	private void skipSpaces() {
		while (this.at < this.text.length() && Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
	}

}
