package org.baobabspar.usage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Monthly settlement: compares each customer's actual share of the usage with its agreed
 * share. An agent incarnation that ended without an orderly shutdown may have used its
 * endpoint for up to one reporting lag after its last report. This unreported usage is
 * given as an upper bound and is not charged to any customer.
 * <p>
 * Immutable and thread-safe.
 *
 * @param month the month, as {@code yyyy-MM}
 * @param totalSlotMillis reported usage of all customers
 * @param incarnations number of agent incarnations that reported usage
 * @param missingSlotMillis upper bound of the unreported usage of all customers
 * @param lines one line per customer
 */
public record Settlement(String month, long totalSlotMillis, int incarnations, long missingSlotMillis,
		List<Line> lines) {

	/**
	 * Calculates the settlement of a month.
	 * @param month the month, as {@code yyyy-MM}
	 * @param shares agreed share by customer
	 * @param records cumulative usage counters, in any order and possibly repeated
	 * @param lagMillis maximum delay of the usage reports
	 * @param slots number of slots of an endpoint
	 * @return the settlement
	 */
	public static Settlement of(String month, Map<String, Double> shares, List<UsageRecord> records, long lagMillis,
			int slots) {
		UsageCounters counters = new UsageCounters();
		records.stream().filter((r) -> r.key().month().equals(month)).forEach(counters::merge);
		Map<String, UsageCount> totals = counters.totalsByParty();
		long totalSlotMillis = totals.values().stream().mapToLong(UsageCount::slotMillis).sum();
		Set<String> agents = new HashSet<>();
		counters.all().forEach((r) -> agents.add(r.agentRef()));
		Set<String> parties = new TreeSet<>(shares.keySet());
		parties.addAll(totals.keySet());
		List<Line> lines = new ArrayList<>();
		for (String party : parties) {
			UsageCount count = totals.getOrDefault(party, UsageCount.NONE);
			double agreed = shares.getOrDefault(party, 0.0);
			double used = (totalSlotMillis > 0) ? (double) count.slotMillis() / totalSlotMillis : 0;
			lines.add(new Line(party, agreed, used, used - agreed, count));
		}
		return new Settlement(month, totalSlotMillis, agents.size(), agents.size() * lagMillis * slots,
				List.copyOf(lines));
	}

	/**
	 * Returns the usage of one month by customer and task class, for a report.
	 * @param month the month, as {@code yyyy-MM}
	 * @param records cumulative usage counters
	 * @return usage by customer and task class, with keys of the form
	 * {@code customer/class}
	 */
	public static Map<String, UsageCount> byClass(String month, List<UsageRecord> records) {
		UsageCounters counters = new UsageCounters();
		records.stream().filter((r) -> r.key().month().equals(month)).forEach(counters::merge);
		Map<String, UsageCount> totals = new TreeMap<>();
		counters.all()
			.forEach((r) -> totals.merge(r.key().party() + "/" + r.key().taskClass(), r.count(), UsageCount::plus));
		return totals;
	}

	/**
	 * Settlement of one customer. Immutable.
	 *
	 * @param party name of the customer
	 * @param agreedShare agreed share of the fleet
	 * @param usedShare actual share of the reported usage
	 * @param difference used share minus agreed share
	 * @param count reported usage
	 */
	public record Line(String party, double agreedShare, double usedShare, double difference, UsageCount count) {
	}

}
