package org.baobabspar.usage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What each party used in a month beside what it agreed to. An incarnation that has ended
 * without saying goodbye may have used its endpoint for up to one reporting lag after its
 * last report; that possible use is shown as a range and charged to nobody.
 * <p>
 * Immutable and safe for any thread.
 *
 * @param month the month, as {@code yyyy-MM}
 * @param totalSlotMillis the use of all parties
 * @param incarnations how many agent incarnations reported use
 * @param missingSlotMillis the most that may be missing over all parties
 * @param lines a line for each party
 */
public record Settlement(String month, long totalSlotMillis, int incarnations, long missingSlotMillis,
		List<Line> lines) {

	/**
	 * Settle a month.
	 * @param month the month, as {@code yyyy-MM}
	 * @param shares the agreed share of each party
	 * @param records cumulative counters, in any order and number
	 * @param lagMillis the reporting lag
	 * @param slots slots of an endpoint
	 * @return the settlement
	 */
	public static Settlement of(String month, Map<String, Double> shares, List<UsageRecord> records, long lagMillis,
			int slots) {
		UsageCounters book = new UsageCounters();
		records.stream().filter((r) -> r.key().month().equals(month)).forEach(book::merge);
		Map<String, UsageCount> totals = book.totalsByParty();
		long all = totals.values().stream().mapToLong(UsageCount::slotMillis).sum();
		Set<String> agents = new HashSet<>();
		book.all().forEach((r) -> agents.add(r.agentRef()));
		Set<String> parties = new TreeSet<>(shares.keySet());
		parties.addAll(totals.keySet());
		List<Line> lines = new ArrayList<>();
		for (String p : parties) {
			UsageCount c = totals.getOrDefault(p, UsageCount.NONE);
			double agreed = shares.getOrDefault(p, 0.0);
			double used = (all > 0) ? (double) c.slotMillis() / all : 0;
			lines.add(new Line(p, agreed, used, used - agreed, c));
		}
		return new Settlement(month, all, agents.size(), agents.size() * lagMillis * slots, List.copyOf(lines));
	}

	/**
	 * Return the classes of work of one month, for a report.
	 * @param month the month
	 * @param records cumulative counters
	 * @return use by party and class
	 */
	public static Map<String, UsageCount> byClass(String month, List<UsageRecord> records) {
		UsageCounters book = new UsageCounters();
		records.stream().filter((r) -> r.key().month().equals(month)).forEach(book::merge);
		Map<String, UsageCount> m = new TreeMap<>();
		book.all().forEach((r) -> m.merge(r.key().party() + "/" + r.key().taskClass(), r.count(), UsageCount::plus));
		return m;
	}

	/**
	 * One party. Immutable.
	 *
	 * @param party the party
	 * @param agreedShare the agreed share
	 * @param usedShare the part of all use
	 * @param difference used over agreed share
	 * @param count the use
	 */
	public record Line(String party, double agreedShare, double usedShare, double difference, UsageCount count) {
	}

}
