package org.baobabspar.daemon;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The command {@code status}: prints the status of an entry. Stateless.
 */
final class StatusCommand {

	private static final List<Setting> SETTINGS = List
		.of(Setting.text("entry", "127.0.0.1:8080", "address of an entry, host:port"));

	private StatusCommand() {
	}

	static int run(List<String> args, Map<String, String> env, PrintStream out) {
		if (Main.printHelp("status", SETTINGS, args, out)) {
			return 0;
		}
		JsonNode status = new HttpCall(Settings.read(SETTINGS, args, env).text("entry")).get("/v1/status");
		out.printf("ready %s, document version %s, waiting tasks %s, live jobs %s, peers %s%n", status.get("ready"),
				status.get("documentVersion"), status.get("waitingTasks"), status.get("liveJobs"), status.get("peers"));
		out.printf("%-14s %-12s %-9s %-7s %6s %6s %8s %9s %10s%n", "agent", "domain", "state", "usable", "slots",
				"limit", "inflight", "failures", "service ms");
		for (JsonNode agent : status.get("agents")) {
			out.printf("%-14s %-12s %-9s %-7s %6d %6d %8d %9d %10d%n", agent.get("agentId").asText(),
					agent.get("failureDomain").asText(), agent.get("state").asText(), agent.get("usable").asText(),
					agent.get("slots").asInt(), agent.get("limit").asInt(), agent.get("inFlight").asInt(),
					agent.get("failuresInRow").asInt(), agent.get("serviceMillis").asLong());
		}
		out.printf("%-14s %16s %10s %8s%n", "party", "slot ms", "completed", "failed");
		status.get("usage")
			.fields()
			.forEachRemaining((usage) -> out.printf("%-14s %16d %10d %8d%n", usage.getKey(),
					usage.getValue().get("slotMillis").asLong(), usage.getValue().get("completed").asLong(),
					usage.getValue().get("failed").asLong()));
		return 0;
	}

}
