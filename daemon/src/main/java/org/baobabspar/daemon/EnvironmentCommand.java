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
 * documents on the platform log. The outcome of an append is determined by reading the
 * log back, so a record is never appended again because a response was lost. Stateless.
 */
final class EnvironmentCommand {

	private static final List<Setting> SETTINGS = List.of(
			Setting.text("log", "127.0.0.1:7000", "address of the platform log, host:port"),
			Setting.text("environment", "production", "name of the environment"),
			Setting.text("operator", System.getProperty("user.name", "operator"),
					"name of the operator, for the history"),
			Setting.number("version", 0, 0, Long.MAX_VALUE, "",
					"the version to promote, show or compare; 0 for the newest"),
			Setting.number("replaces", -1, -1, Long.MAX_VALUE, "",
					"the version that a promotion replaces, 0 for none; -1 for the one in force"));

	private EnvironmentCommand() {
	}

	static int run(List<String> args, Map<String, String> env, PrintStream out) {
		if (args.isEmpty() || Main.printHelp("env validate|publish|promote|show|history|diff", SETTINGS, args, out)) {
			if (args.isEmpty()) {
				throw new CodedException(ResultCode.SETTING_INVALID,
						"env: missing action; one of validate, publish, promote, show, history, diff");
			}
			return 0;
		}
		Settings settings = Settings.read(SETTINGS, args.subList(1, args.size()), env);
		switch (args.get(0)) {
			case "validate" -> out.println("valid: " + read(settings).environment());
			case "publish" -> publish(settings, out);
			case "promote" -> promote(settings, out);
			case "show" -> show(settings, out);
			case "history" -> history(settings, out);
			case "diff" -> diff(settings, out);
			default ->
				throw new CodedException(ResultCode.SETTING_INVALID, "env: unknown action '" + args.get(0) + "'");
		}
		return 0;
	}

	private static EnvironmentDocument read(Settings settings) {
		if (settings.arguments().size() != 1) {
			throw new CodedException(ResultCode.SETTING_INVALID, "env: exactly one document file is required");
		}
		try {
			return DocumentFormat.parse(Files.readString(Path.of(settings.arguments().get(0))));
		}
		catch (IOException ex) {
			throw new CodedException(ResultCode.DOCUMENT_INVALID, settings.arguments().get(0) + " cannot be read", ex);
		}
	}

	private static void publish(Settings settings, PrintStream out) {
		EnvironmentDocument document = read(settings);
		DocumentRecord record = DocumentRecord.publish(UUID.randomUUID().toString(), settings.text("operator"),
				document);
		DocumentHistory.AppliedRecord applied = append(settings, document.environment(), record);
		out.println(
				"published version " + DocumentHistory.versionAt(applied.offset()) + " of " + document.environment());
	}

	private static void promote(Settings settings, PrintStream out) {
		DocumentHistory history = load(settings, settings.text("environment"));
		long version = version(settings, history);
		long replaces = (settings.number("replaces") >= 0) ? settings.number("replaces") : history.version();
		DocumentRecord record = DocumentRecord.promote(settings.text("environment"), UUID.randomUUID().toString(),
				settings.text("operator"), version, replaces);
		DocumentHistory.AppliedRecord applied = append(settings, settings.text("environment"), record);
		if (applied.outcome() != ResultCode.COMPLETE) {
			throw new CodedException(applied.outcome(), applied.outcome().message());
		}
		out.println("promoted version " + version + " of " + settings.text("environment") + " in place of " + replaces);
	}

	// Appends the record once, then reads its outcome from the log.
	private static DocumentHistory.AppliedRecord append(Settings settings, String environment, DocumentRecord record) {
		String failure = "";
		try {
			new LogClient(settings.text("log")).append(EnvironmentWatcher.STREAM, record).block();
		}
		catch (CodedException ex) {
			failure = ": " + ex.getMessage();
		}
		String detail = "the record is not on the log" + failure;
		return load(settings, environment).find(record.requestId())
			.orElseThrow(() -> new CodedException(ResultCode.LOG_UNAVAILABLE, detail));
	}

	private static DocumentHistory load(Settings settings, String environment) {
		DocumentHistory history = new DocumentHistory(environment);
		for (LogPage.Record record : new LogClient(settings.text("log")).readAll(EnvironmentWatcher.STREAM)) {
			history.apply(record.offset(), record.as(DocumentRecord.class));
		}
		return history;
	}

	private static long version(Settings settings, DocumentHistory history) {
		if (settings.number("version") > 0) {
			return settings.number("version");
		}
		return history.trial()
			.orElseThrow(() -> new CodedException(ResultCode.VERSION_UNKNOWN, "no version has been published"))
			.version();
	}

	private static EnvironmentDocument document(DocumentHistory history, long version) {
		return history.published(version)
			.orElseThrow(
					() -> new CodedException(ResultCode.VERSION_UNKNOWN, "version " + version + " is not published"));
	}

	private static void show(Settings settings, PrintStream out) {
		DocumentHistory history = load(settings, settings.text("environment"));
		long version = (settings.number("version") > 0) ? settings.number("version") : history.version();
		if (version == 0 && settings.number("version") == 0 && history.inForce().isEmpty()) {
			throw new CodedException(ResultCode.VERSION_UNKNOWN, "no version is in force");
		}
		out.println("version " + version + ((version == history.version()) ? " (in force)" : ""));
		out.println(Json.MAPPER.valueToTree(document(history, version)).toPrettyString());
	}

	private static void history(Settings settings, PrintStream out) {
		DocumentHistory history = load(settings, settings.text("environment"));
		for (DocumentHistory.AppliedRecord applied : history.appliedRecords()) {
			DocumentRecord record = applied.record();
			String action = switch (record.type()) {
				case PUBLISH -> "published version " + DocumentHistory.versionAt(applied.offset());
				case PROMOTE -> "promoted version " + record.version() + " in place of " + record.replaces();
				case CARRY -> "carried version " + record.version();
			};
			out.println(applied.offset() + " " + action + " by " + record.operator() + ": " + applied.outcome());
		}
		out.println("in force: version " + history.version());
	}

	private static void diff(Settings settings, PrintStream out) {
		DocumentHistory history = load(settings, settings.text("environment"));
		long version = version(settings, history);
		Map<String, String> before = flat(Json.MAPPER.valueToTree(document(history, history.version())));
		Map<String, String> after = flat(Json.MAPPER.valueToTree(document(history, version)));
		List<String> paths = new ArrayList<>();
		paths.addAll(before.keySet());
		after.keySet().stream().filter((name) -> !before.containsKey(name)).forEach(paths::add);
		out.println("version " + history.version() + " in force, version " + version);
		for (String name : paths) {
			if (!String.valueOf(before.get(name)).equals(String.valueOf(after.get(name)))) {
				out.println(name + ": " + before.get(name) + " -> " + after.get(name));
			}
		}
	}

	private static Map<String, String> flat(JsonNode node) {
		Map<String, String> values = new TreeMap<>();
		flatten("", node, values);
		return values;
	}

	private static void flatten(String path, JsonNode node, Map<String, String> values) {
		if (node.isObject()) {
			node.fields()
				.forEachRemaining((field) -> flatten(path + (path.isEmpty() ? "" : ".") + field.getKey(),
						field.getValue(), values));
		}
		else if (node.isArray()) {
			for (int i = 0; i < node.size(); i++) {
				String name = node.get(i).path("name").asText(Integer.toString(i));
				flatten(path + "[" + name + "]", node.get(i), values);
			}
		}
		else {
			values.put(path, node.asText());
		}
	}

}
