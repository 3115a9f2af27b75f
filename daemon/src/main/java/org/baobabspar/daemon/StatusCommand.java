package org.baobabspar.daemon;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The command {@code status}: prints what an entry knows. Stateless.
 */
final class StatusCommand {

	private static final List<Setting> SETTINGS = List
		.of(Setting.text("entry", "127.0.0.1:8080", "address of an entry, host:port"));

	private StatusCommand() {
	}

	static int run(List<String> args, Map<String, String> env, PrintStream out) {
		if (Main.help("status", SETTINGS, args, out)) {
			return 0;
		}
		JsonNode s = new HttpCall(Settings.read(SETTINGS, args, env).text("entry")).get("/v1/status");
		out.printf("ready %s, document version %s, waiting tasks %s, live jobs %s, peers %s%n", s.get("ready"),
				s.get("documentVersion"), s.get("waitingTasks"), s.get("liveJobs"), s.get("peers"));
		out.printf("%-14s %-12s %-9s %-7s %6s %6s %8s %9s %10s%n", "agent", "domain", "state", "usable", "slots",
				"limit", "inflight", "failures", "service ms");
		for (JsonNode a : s.get("agents")) {
			out.printf("%-14s %-12s %-9s %-7s %6d %6d %8d %9d %10d%n", a.get("agentId").asText(),
					a.get("failureDomain").asText(), a.get("state").asText(), a.get("usable").asText(),
					a.get("slots").asInt(), a.get("limit").asInt(), a.get("inFlight").asInt(),
					a.get("failuresInRow").asInt(), a.get("serviceMillis").asLong());
		}
		out.printf("%-14s %16s %10s %8s%n", "party", "slot ms", "completed", "failed");
		s.get("usage")
			.fields()
			.forEachRemaining(
					(e) -> out.printf("%-14s %16d %10d %8d%n", e.getKey(), e.getValue().get("slotMillis").asLong(),
							e.getValue().get("completed").asLong(), e.getValue().get("failed").asLong()));
		return 0;
	}

}
