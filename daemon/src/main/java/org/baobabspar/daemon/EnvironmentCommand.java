package org.baobabspar.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;
import org.baobabspar.document.DocumentFormat;
import org.baobabspar.document.DocumentHistory;
import org.baobabspar.document.DocumentRecord;
import org.baobabspar.document.EnvironmentDocument;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;

/**
 * The command {@code env}: validates, publishes, promotes, shows and compares environment
 * documents on the platform log. Whether a record counts is settled by reading the log,
 * so a lost answer is never a reason to append again. Stateless.
 */
final class EnvironmentCommand {

	private static final List<Setting> SETTINGS = List.of(
			Setting.text("log", "127.0.0.1:7000", "address of the platform log, host:port"),
			Setting.text("environment", "production", "the environment"),
			Setting.text("operator", System.getProperty("user.name", "operator"), "who acts, for the history"),
			Setting.number("version", 0, 0, Long.MAX_VALUE, "",
					"the version to promote, show or compare; 0 for the newest"),
			Setting.number("replaces", -1, -1, Long.MAX_VALUE, "",
					"the version that a promotion replaces, 0 for none; -1 for the one in force"));

	private EnvironmentCommand() {
	}

	static int run(List<String> args, Map<String, String> env, PrintStream out) {
		if (args.isEmpty() || Main.help("env validate|publish|promote|show|history|diff", SETTINGS, args, out)) {
			if (args.isEmpty()) {
				throw new CodedException(ResultCode.SETTING_INVALID,
						"env: one of validate, publish, promote, show, history, diff is needed");
			}
			return 0;
		}
		Settings s = Settings.read(SETTINGS, args.subList(1, args.size()), env);
		switch (args.get(0)) {
			case "validate" -> out.println("valid: " + read(s).environment());
			case "publish" -> publish(s, out);
			case "promote" -> promote(s, out);
			case "show" -> show(s, out);
			case "history" -> history(s, out);
			case "diff" -> diff(s, out);
			default ->
				throw new CodedException(ResultCode.SETTING_INVALID, "env: unknown action '" + args.get(0) + "'");
		}
		return 0;
	}

	private static EnvironmentDocument read(Settings s) {
		if (s.arguments().size() != 1) {
			throw new CodedException(ResultCode.SETTING_INVALID, "env: one file with a document is needed");
		}
		try {
			return DocumentFormat.parse(Files.readString(Path.of(s.arguments().get(0))));
		}
		catch (IOException ex) {
			throw new CodedException(ResultCode.DOCUMENT_INVALID, s.arguments().get(0) + " is not readable", ex);
		}
	}

	private static void publish(Settings s, PrintStream out) {
		EnvironmentDocument d = read(s);
		DocumentRecord r = DocumentRecord.publish(UUID.randomUUID().toString(), s.text("operator"), d);
		DocumentHistory.AppliedRecord l = append(s, d.environment(), r);
		out.println("published version " + DocumentHistory.versionAt(l.offset()) + " of " + d.environment());
	}

	private static void promote(Settings s, PrintStream out) {
		DocumentHistory h = load(s, s.text("environment"));
		long version = version(s, h);
		long replaces = (s.number("replaces") >= 0) ? s.number("replaces") : h.version();
		DocumentRecord r = DocumentRecord.promote(s.text("environment"), UUID.randomUUID().toString(),
				s.text("operator"), version, replaces);
		DocumentHistory.AppliedRecord l = append(s, s.text("environment"), r);
		if (l.outcome() != ResultCode.COMPLETE) {
			throw new CodedException(l.outcome(), l.outcome().message());
		}
		out.println("promoted version " + version + " of " + s.text("environment") + " in place of " + replaces);
	}

	// Appends once, then reads what became of the record.
	private static DocumentHistory.AppliedRecord append(Settings s, String environment, DocumentRecord r) {
		String fault = "";
		try {
			new LogClient(s.text("log")).append(EnvironmentWatcher.STREAM, r).block();
		}
		catch (CodedException ex) {
			fault = ": " + ex.getMessage();
		}
		String detail = "the record is not on the log" + fault;
		return load(s, environment).find(r.requestId())
			.orElseThrow(() -> new CodedException(ResultCode.LOG_UNAVAILABLE, detail));
	}

	private static DocumentHistory load(Settings s, String environment) {
		DocumentHistory h = new DocumentHistory(environment);
		for (LogPage.Record r : new LogClient(s.text("log")).readAll(EnvironmentWatcher.STREAM)) {
			h.apply(r.offset(), r.as(DocumentRecord.class));
		}
		return h;
	}

	private static long version(Settings s, DocumentHistory h) {
		if (s.number("version") > 0) {
			return s.number("version");
		}
		return h.trial()
			.orElseThrow(() -> new CodedException(ResultCode.VERSION_UNKNOWN, "nothing was published"))
			.version();
	}

	private static EnvironmentDocument document(DocumentHistory h, long version) {
		return h.published(version)
			.orElseThrow(() -> new CodedException(ResultCode.VERSION_UNKNOWN, "version " + version));
	}

	private static void show(Settings s, PrintStream out) {
		DocumentHistory h = load(s, s.text("environment"));
		long v = (s.number("version") > 0) ? s.number("version") : h.version();
		if (v == 0 && s.number("version") == 0 && h.inForce().isEmpty()) {
			throw new CodedException(ResultCode.VERSION_UNKNOWN, "no version is in force");
		}
		out.println("version " + v + ((v == h.version()) ? " (in force)" : ""));
		out.println(Json.MAPPER.valueToTree(document(h, v)).toPrettyString());
	}

	private static void history(Settings s, PrintStream out) {
		DocumentHistory h = load(s, s.text("environment"));
		for (DocumentHistory.AppliedRecord l : h.appliedRecords()) {
			DocumentRecord r = l.record();
			String what = switch (r.type()) {
				case PUBLISH -> "published version " + DocumentHistory.versionAt(l.offset());
				case PROMOTE -> "promoted version " + r.version() + " in place of " + r.replaces();
				case CARRY -> "carried version " + r.version();
			};
			out.println(l.offset() + " " + what + " by " + r.operator() + ": " + l.outcome());
		}
		out.println("in force: version " + h.version());
	}

	private static void diff(Settings s, PrintStream out) {
		DocumentHistory h = load(s, s.text("environment"));
		long v = version(s, h);
		Map<String, String> a = flat(Json.MAPPER.valueToTree(document(h, h.version())));
		Map<String, String> b = flat(Json.MAPPER.valueToTree(document(h, v)));
		List<String> names = new ArrayList<>();
		names.addAll(a.keySet());
		b.keySet().stream().filter((n) -> !a.containsKey(n)).forEach(names::add);
		out.println("version " + h.version() + " in force, version " + v);
		for (String n : names) {
			if (!String.valueOf(a.get(n)).equals(String.valueOf(b.get(n)))) {
				out.println(n + ": " + a.get(n) + " -> " + b.get(n));
			}
		}
	}

	private static Map<String, String> flat(JsonNode n) {
		Map<String, String> r = new TreeMap<>();
		flatten("", n, r);
		return r;
	}

	private static void flatten(String path, JsonNode n, Map<String, String> r) {
		if (n.isObject()) {
			n.fields()
				.forEachRemaining((e) -> flatten(path + (path.isEmpty() ? "" : ".") + e.getKey(), e.getValue(), r));
		}
		else if (n.isArray()) {
			for (int i = 0; i < n.size(); i++) {
				String name = n.get(i).path("name").asText(Integer.toString(i));
				flatten(path + "[" + name + "]", n.get(i), r);
			}
		}
		else {
			r.put(path, n.asText());
		}
	}

}
