package org.baobabspar.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.YearMonth;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import org.baobabspar.document.DocumentHistory;
import org.baobabspar.document.DocumentRecord;
import org.baobabspar.document.Party;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;
import org.baobabspar.usage.Settlement;
import org.baobabspar.usage.UsageBatch;
import org.baobabspar.usage.UsageRecord;

/**
 * The command {@code settle}: reads the streams of usage and of environment documents and
 * prints the usage of each customer in a month. Stateless.
 */
final class SettleCommand {

	private static final List<Setting> SETTINGS = List.of(
			Setting.text("log", "127.0.0.1:7000", "address of the platform log, host:port"),
			Setting.text("environment", "production", "name of the environment"),
			Setting.text("month", YearMonth.now(ZoneOffset.UTC).toString(), "the month, yyyy-MM in UTC"),
			Setting.number("lag-millis", 2_000, 0, 3_600_000, "ms", "reporting lag of an agent"),
			Setting.number("slots", 8, 1, 1024, "tasks", "slots of an endpoint"),
			Setting.text("csv", "", "file to write the settlement to as CSV"),
			Setting.text("html", "", "file to write the settlement to as a page with a plot"));

	private static final double MILLIS_PER_HOUR = 3_600_000;

	private static final int PERCENT = 100;

	private SettleCommand() {
	}

	static int run(List<String> args, Map<String, String> env, PrintStream out) {
		if (Main.printHelp("settle", SETTINGS, args, out)) {
			return 0;
		}
		Settings settings = Settings.read(SETTINGS, args, env);
		LogClient log = new LogClient(settings.text("log"));
		Settlement settlement = Settlement.of(settings.text("month"), shares(log, settings.text("environment")),
				records(log), settings.number("lag-millis"), settings.integer("slots"));
		print(settlement, out);
		write(settings.text("csv"), csv(settlement));
		write(settings.text("html"), SettlementPage.render(settlement));
		return 0;
	}

	private static Map<String, Double> shares(LogClient log, String environment) {
		DocumentHistory history = new DocumentHistory(environment);
		for (LogPage.Record record : log.readAll(EnvironmentWatcher.STREAM)) {
			history.apply(record.offset(), record.as(DocumentRecord.class));
		}
		Map<String, Double> shares = new TreeMap<>();
		history.inForce().ifPresent((inForce) -> {
			for (Party party : inForce.document().parties()) {
				shares.put(party.name(), party.share());
			}
		});
		return shares;
	}

	private static List<UsageRecord> records(LogClient log) {
		List<UsageRecord> records = new ArrayList<>();
		for (LogPage.Record batch : log.readAll(UsageWriter.STREAM)) {
			records.addAll(batch.as(UsageBatch.class).records());
		}
		return records;
	}

	private static void print(Settlement settlement, PrintStream out) {
		out.printf("settlement of %s: %.4f slot hours by %d agent incarnations, at most %.4f slot hours missing%n",
				settlement.month(), settlement.totalSlotMillis() / MILLIS_PER_HOUR, settlement.incarnations(),
				settlement.missingSlotMillis() / MILLIS_PER_HOUR);
		out.printf("%-14s %8s %8s %11s %12s %10s %8s%n", "party", "agreed", "used", "difference", "slot hours",
				"completed", "failed");
		for (Settlement.Line line : settlement.lines()) {
			out.printf("%-14s %7.2f%% %7.2f%% %+10.2f%% %12.4f %10d %8d%n", line.party(), PERCENT * line.agreedShare(),
					PERCENT * line.usedShare(), PERCENT * line.difference(),
					line.count().slotMillis() / MILLIS_PER_HOUR, line.count().completed(), line.count().failed());
		}
	}

	private static String csv(Settlement settlement) {
		StringBuilder text = new StringBuilder(
				"month,party,agreed_share,used_share,difference,slot_millis,completed,failed\n");
		for (Settlement.Line line : settlement.lines()) {
			text.append(String.format(Locale.ROOT, "%s,%s,%.6f,%.6f,%.6f,%d,%d,%d%n", settlement.month(), line.party(),
					line.agreedShare(), line.usedShare(), line.difference(), line.count().slotMillis(),
					line.count().completed(), line.count().failed()));
		}
		return text.toString();
	}

	private static void write(String file, String content) {
		if (file.isEmpty()) {
			return;
		}
		try {
			Files.writeString(Path.of(file), content);
		}
		catch (IOException ex) {
			throw new CodedException(ResultCode.UNREACHABLE, file + " cannot be written", ex);
		}
	}

}
