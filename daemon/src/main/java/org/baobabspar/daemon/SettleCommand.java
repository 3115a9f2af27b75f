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
 * The command {@code settle}: reads the streams of use and of environment documents and
 * prints what each party used in a month. Stateless.
 */
final class SettleCommand {

	private static final List<Setting> SETTINGS = List.of(
			Setting.text("log", "127.0.0.1:7000", "address of the platform log, host:port"),
			Setting.text("environment", "production", "the environment"),
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
		if (Main.help("settle", SETTINGS, args, out)) {
			return 0;
		}
		Settings s = Settings.read(SETTINGS, args, env);
		LogClient log = new LogClient(s.text("log"));
		Settlement t = Settlement.of(s.text("month"), shares(log, s.text("environment")), records(log),
				s.number("lag-millis"), s.integer("slots"));
		print(t, out);
		write(s.text("csv"), csv(t));
		write(s.text("html"), SettlementPage.render(t));
		return 0;
	}

	private static Map<String, Double> shares(LogClient log, String environment) {
		DocumentHistory h = new DocumentHistory(environment);
		for (LogPage.Record r : log.readAll(EnvironmentWatcher.STREAM)) {
			h.apply(r.offset(), r.as(DocumentRecord.class));
		}
		Map<String, Double> shares = new TreeMap<>();
		h.inForce().ifPresent((v) -> {
			for (Party p : v.document().parties()) {
				shares.put(p.name(), p.share());
			}
		});
		return shares;
	}

	private static List<UsageRecord> records(LogClient log) {
		List<UsageRecord> records = new ArrayList<>();
		for (LogPage.Record r : log.readAll(UsageWriter.STREAM)) {
			records.addAll(r.as(UsageBatch.class).records());
		}
		return records;
	}

	private static void print(Settlement t, PrintStream out) {
		out.printf("settlement of %s: %.4f slot hours by %d agent incarnations, at most %.4f slot hours missing%n",
				t.month(), t.totalSlotMillis() / MILLIS_PER_HOUR, t.incarnations(),
				t.missingSlotMillis() / MILLIS_PER_HOUR);
		out.printf("%-14s %8s %8s %11s %12s %10s %8s%n", "party", "agreed", "used", "difference", "slot hours",
				"completed", "failed");
		for (Settlement.Line l : t.lines()) {
			out.printf("%-14s %7.2f%% %7.2f%% %+10.2f%% %12.4f %10d %8d%n", l.party(), PERCENT * l.agreedShare(),
					PERCENT * l.usedShare(), PERCENT * l.difference(), l.count().slotMillis() / MILLIS_PER_HOUR,
					l.count().completed(), l.count().failed());
		}
	}

	private static String csv(Settlement t) {
		StringBuilder b = new StringBuilder(
				"month,party,agreed_share,used_share,difference,slot_millis,completed,failed\n");
		for (Settlement.Line l : t.lines()) {
			b.append(String.format(Locale.ROOT, "%s,%s,%.6f,%.6f,%.6f,%d,%d,%d%n", t.month(), l.party(),
					l.agreedShare(), l.usedShare(), l.difference(), l.count().slotMillis(), l.count().completed(),
					l.count().failed()));
		}
		return b.toString();
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
