package org.baobabspar.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The newest known usage counters of every agent incarnation. Reports may be delayed,
 * duplicated, reordered and received over several paths. Counters are cumulative and
 * merged by taking the maximum, so no usage is counted twice.
 * <p>
 * Example: after reports of 40, 70 and again 40 slot-milliseconds from one agent, the
 * counter is 70.
 * <p>
 * Invariant: counters never decrease. Not thread-safe.
 */
public final class UsageCounters {

	private final Map<String, Map<UsageKey, UsageCount>> byAgent = new HashMap<>();

	private final Map<String, Map<UsageKey, UsageCount>> changed = new HashMap<>();

	/**
	 * Merges one report.
	 * @param report the report
	 */
	public void merge(UsageRecord report) {
		Map<UsageKey, UsageCount> counts = this.byAgent.computeIfAbsent(report.agentRef(), (a) -> new HashMap<>());
		UsageCount previous = counts.getOrDefault(report.key(), UsageCount.NONE);
		UsageCount merged = previous.max(report.count());
		if (!merged.equals(previous)) {
			counts.put(report.key(), merged);
			this.changed.computeIfAbsent(report.agentRef(), (a) -> new HashMap<>()).put(report.key(), merged);
		}
	}

	/**
	 * Returns the counters that have changed since the last call and marks them as
	 * unchanged.
	 * @return the newest values of the changed counters
	 */
	public List<UsageRecord> takeChanged() {
		List<UsageRecord> records = toRecords(this.changed);
		this.changed.clear();
		return records;
	}

	/**
	 * Returns all counters.
	 * @return the newest values of all counters
	 */
	public List<UsageRecord> all() {
		return toRecords(this.byAgent);
	}

	/**
	 * Removes the counters of an agent incarnation that has ended and was written to the
	 * log. Keeps them if there are changes that {@link #takeChanged()} has not returned
	 * yet.
	 * @param agentRef id and incarnation of the agent
	 */
	public void remove(String agentRef) {
		if (!this.changed.containsKey(agentRef)) {
			this.byAgent.remove(agentRef);
		}
	}

	/**
	 * Adds up the counters of all agent incarnations.
	 * @return usage by customer, sorted by name
	 */
	public Map<String, UsageCount> totalsByParty() {
		Map<String, UsageCount> totals = new TreeMap<>();
		for (UsageRecord usage : all()) {
			totals.merge(usage.key().party(), usage.count(), UsageCount::plus);
		}
		return totals;
	}

	public int size() {
		return this.byAgent.values().stream().mapToInt(Map::size).sum();
	}

	private static List<UsageRecord> toRecords(Map<String, Map<UsageKey, UsageCount>> source) {
		List<UsageRecord> records = new ArrayList<>();
		source.forEach((agent, counts) -> counts.forEach((k, c) -> records.add(new UsageRecord(agent, k, c))));
		return records;
	}

}
