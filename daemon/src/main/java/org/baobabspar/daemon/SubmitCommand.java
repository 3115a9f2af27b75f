package org.baobabspar.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;

/**
 * The command {@code submit}: submits the jobs of files one after the other, each as one
 * JSON value, and prints each answer. Exits with 0 if every job is complete. Stateless.
 */
final class SubmitCommand {

	private static final List<Setting> SETTINGS = List
		.of(Setting.text("entry", "127.0.0.1:8080", "address of an entry, host:port"));

	private static final int EXIT_INCOMPLETE = 3;

	private SubmitCommand() {
	}

	static int run(List<String> args, Map<String, String> env, PrintStream out) {
		if (Main.printHelp("submit FILE...", SETTINGS, args, out)) {
			return 0;
		}
		Settings settings = Settings.read(SETTINGS, args, env);
		if (settings.arguments().isEmpty()) {
			throw new CodedException(ResultCode.SETTING_INVALID, "submit: a file of jobs is required");
		}
		HttpCall entry = new HttpCall(settings.text("entry"));
		boolean allComplete = true;
		for (String file : settings.arguments()) {
			for (JsonNode job : jobs(file)) {
				JsonNode answer = entry.post("/v1/jobs", Json.bytes(job));
				out.println(answer);
				allComplete &= answer.path("code").asInt(-1) == ResultCode.COMPLETE.number();
			}
		}
		return allComplete ? 0 : EXIT_INCOMPLETE;
	}

	private static List<JsonNode> jobs(String file) {
		try (MappingIterator<JsonNode> iterator = Json.MAPPER.readerFor(JsonNode.class)
			.readValues(Files.readAllBytes(Path.of(file)))) {
			return iterator.readAll();
		}
		catch (IOException ex) {
			throw new CodedException(ResultCode.MALFORMED_REQUEST, file + ": " + ex.getMessage(), ex);
		}
	}

}
