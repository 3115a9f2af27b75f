package org.baobabspar.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The newest counters known of every agent incarnation. Reports may come late, twice, in
 * any order and by several ways: merging takes the maximum, so nothing counts twice.
 * <p>
 * Example: reports of 40, 70 and again 40 slot-milliseconds of one agent leave 70.
 * <p>
 * Invariant: counters only grow. Used by one thread.
 */
public final class UsageCounters {

	private final Map<String, Map<UsageKey, UsageCount>> byAgent = new HashMap<>();

	private final Map<String, Map<UsageKey, UsageCount>> changed = new HashMap<>();

	/**
	 * Merge one report.
	 * @param r the report
	 */
	public void merge(UsageRecord r) {
		Map<UsageKey, UsageCount> counts = this.byAgent.computeIfAbsent(r.agentRef(), (a) -> new HashMap<>());
		UsageCount old = counts.getOrDefault(r.key(), UsageCount.NONE);
		UsageCount merged = old.max(r.count());
		if (!merged.equals(old)) {
			counts.put(r.key(), merged);
			this.changed.computeIfAbsent(r.agentRef(), (a) -> new HashMap<>()).put(r.key(), merged);
		}
	}

	/**
	 * Return what changed since the last call, and forget that it did.
	 * @return the newest counters
	 */
	public List<UsageRecord> takeChanged() {
		List<UsageRecord> r = records(this.changed);
		this.changed.clear();
		return r;
	}

	/**
	 * Return all counters.
	 * @return the newest counters
	 */
	public List<UsageRecord> all() {
		return records(this.byAgent);
	}

	/**
	 * Drop the counters of an incarnation that has ended and was written to the log.
	 * @param agentRef the agent and its incarnation
	 */
	public void remove(String agentRef) {
		if (!this.changed.containsKey(agentRef)) {
			this.byAgent.remove(agentRef);
		}
	}

	/**
	 * Add up the counters of all incarnations.
	 * @return the use by key, in a stable order
	 */
	public Map<String, UsageCount> totalsByParty() {
		Map<String, UsageCount> totals = new TreeMap<>();
		for (UsageRecord r : all()) {
			totals.merge(r.key().party(), r.count(), UsageCount::plus);
		}
		return totals;
	}

	public int size() {
		return this.byAgent.values().stream().mapToInt(Map::size).sum();
	}

	private static List<UsageRecord> records(Map<String, Map<UsageKey, UsageCount>> source) {
		List<UsageRecord> r = new ArrayList<>();
		source.forEach((agent, counts) -> counts.forEach((k, c) -> r.add(new UsageRecord(agent, k, c))));
		return r;
	}

}
