package org.baobabspar.daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import org.baobabspar.model.CodedException;
import org.baobabspar.model.JobSpec;
import org.baobabspar.model.ResultCode;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of the interfaces for callers and operators, and of the pages that describe them.
 */
public class InterfaceTests {

	private static final Path DOCS = Path.of("..", "docs");

	/** Parsing of submissions. */
	public static class Submission {

		private static final String VALID = "{'party':'p','class':'c','idempotencyKey':'k','attempt':1,"
				+ "'deadlineMillis':100,'tasks':[{'payload':{'x':1},'declaredMillis':5}]}";

		private static JobSpec read(String json) {
			return JobRequest.read(json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
		}

		@Test
		void validSubmissionIsParsed() {
			JobSpec s = read(VALID);
			Assert.assertEquals(s.id(), "p/k");
			Assert.assertEquals(s.ageMillis(), 0);
			Assert.assertEquals(new String(s.tasks().get(0).payload(), StandardCharsets.UTF_8), "{\"x\":1}");
		}

		@Test
		void submissionWithoutAttemptHasUnknownAge() {
			Assert.assertEquals(read(VALID.replace("'attempt':1,", "")).ageMillis(), -1);
		}

		@DataProvider
		public Object[][] invalidSubmissions() {
			String many = "[" + "{'payload':1},".repeat(1200) + "{'payload':1}]";
			String large = "{'payload':'" + "x".repeat(70_000) + "'}";
			return new Object[][] { { "{'party'", "{'party", ResultCode.MALFORMED_REQUEST, "line 1" },
					{ "'tasks':[{'payload':{'x':1},'declaredMillis':5}]", "'tasks':[]", ResultCode.TASK_COUNT, "0" },
					{ "[{'payload':{'x':1},'declaredMillis':5}]", many, ResultCode.TASK_COUNT, "1201" },
					{ "'deadlineMillis'", "'deadlineMilis'", ResultCode.INVALID_FIELD, "deadlineMilis" },
					{ "'declaredMillis':5", "'declaredMillis':-5", ResultCode.INVALID_FIELD, "declaredMillis: -5" },
					{ "'declaredMillis':5", "'declaredMegabytes':-1", ResultCode.INVALID_FIELD, "declaredMegabytes" },
					{ "'attempt':1", "'attempt':-1", ResultCode.INVALID_FIELD, "attempt" },
					{ "'idempotencyKey':'k'", "'idempotencyKey':'a b'", ResultCode.INVALID_FIELD, "idempotencyKey" },
					{ "'party':'p',", "", ResultCode.INVALID_FIELD, "party" },
					{ "{'payload':{'x':1},'declaredMillis':5}", large, ResultCode.PAYLOAD_TOO_LARGE, "payload" } };
		}

		@Test(dataProvider = "invalidSubmissions")
		void invalidSubmissionIsRejectedWithItsCode(String valid, String invalid, ResultCode code,
				String expectedText) {
			try {
				read(VALID.replace(valid, invalid));
				Assert.fail("accepted");
			}
			catch (CodedException ex) {
				Assert.assertEquals(ex.code(), code, ex.getMessage());
				Assert.assertTrue(ex.getMessage().contains(expectedText), ex.getMessage());
			}
		}

	}

	/** Flags, environment variables and exit statuses of commands. */
	public static class Flags {

		@Test
		void flagPrecedesVariableAndVariablePrecedesDefault() {
			Map<String, String> env = Map.of("BAOBABSPAR_ID", "v", "BAOBABSPAR_HTTP_PORT", "81");
			Settings s = Settings.read(EntryDaemon.SETTINGS, List.of("--id", "f"), env);
			Assert.assertEquals(s.text("id"), "f");
			Assert.assertEquals(s.number("http-port"), 81);
			Assert.assertEquals(s.number("link-port"), 7070);
		}

		@Test
		void allInvalidSettingsAreReportedTogether() {
			try {
				Settings.read(EntryDaemon.SETTINGS, List.of("--http-port", "70000", "--window-millis", "x"), Map.of());
				Assert.fail("accepted");
			}
			catch (CodedException ex) {
				Assert.assertEquals(ex.code(), ResultCode.SETTING_INVALID);
				for (String part : List.of("--id: missing", "'70000' is not 0 to 65535 port", "--window-millis",
						"ms")) {
					Assert.assertTrue(ex.getMessage().contains(part), ex.getMessage());
				}
			}
		}

		@DataProvider
		public Object[][] commands() {
			return new Object[][] { { "", 2, "baobabspar COMMAND" }, { "--help", 0, "entry" },
					{ "--version", 0, "baobabspar 0" }, { "bogus", 2, "unknown command 'bogus'" },
					{ "entry --bogus 1", 2, "bogus" }, { "entry --help", 0, "--link-port" },
					{ "agent --version", 0, "baobabspar 0" }, { "env", 2, "validate" },
					{ "env validate nowhere.json", 1, "600" }, { "submit", 2, "a file" },
					{ "status --entry 127.0.0.1:1", 1, "702" } };
		}

		@Test(dataProvider = "commands")
		void commandReturnsItsExitStatus(String line, int exit, String printed) {
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			PrintStream p = new PrintStream(out, true, StandardCharsets.UTF_8);
			List<String> args = line.isEmpty() ? List.of() : List.of(line.split(" "));
			Assert.assertEquals(Main.run(args, Map.of(), p, p), exit);
			Assert.assertTrue(out.toString(StandardCharsets.UTF_8).contains(printed), out.toString());
		}

	}

	/** Pages under {@code docs} that must agree with the code. */
	public static class Pages {

		@Test
		void resultCodePageMatchesTheEnum() throws IOException {
			List<String> expected = Arrays.stream(ResultCode.values())
				.map((c) -> String.format("| %d | %s | %s | %d | %s | %s |", c.number(), c.name(), c.family(),
						c.httpStatus(), c.severity(), c.message()))
				.toList();
			List<String> actual = Files.readAllLines(DOCS.resolve("RESULT-CODES.md"))
				.stream()
				.filter((l) -> l.matches("\\| \\d+ .*"))
				.toList();
			Assert.assertEquals(actual, expected);
		}

		@Test
		void settingsPageListsEverySetting() throws IOException {
			String page = Files.readString(DOCS.resolve("SETTINGS.md"));
			List<String> missing = new ArrayList<>();
			for (List<Setting> all : List.of(EntryDaemon.SETTINGS, AgentDaemon.SETTINGS)) {
				for (Setting s : all) {
					if (!page.contains("`--" + s.name() + "`") || !page.contains(s.variable())) {
						missing.add(s.name());
					}
				}
			}
			Assert.assertEquals(missing, List.of());
		}

	}

}
