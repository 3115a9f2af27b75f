package org.baobabspar.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.baobabspar.usage.UsageCount;
import org.baobabspar.usage.UsageKey;
import org.baobabspar.usage.UsageRecord;

/**
 * Cumulative usage counters of one incarnation of an agent. Each change advances a
 * sequence number, so that a link is sent only the counters that changed since its last
 * report; a new link is sent all of them. Running tasks are metered while they run, so
 * that an agent that fails loses at most the usage since its last report.
 * <p>
 * Invariant: counters never decrease. Not thread-safe: used on the control thread only.
 */
final class UsageMeter {

	private final String agentRef;

	private final Map<UsageKey, Counter> counters = new HashMap<>();

	private long sequence;

	UsageMeter(String agentRef) {
		this.agentRef = agentRef;
	}

	void recordRunning(UsageKey key, long slotMillis) {
		Counter counter = updatedCounter(key);
		counter.count = new UsageCount(counter.count.slotMillis() + slotMillis, counter.count.completed(),
				counter.count.failed());
	}

	void recordEnded(UsageKey key, long slotMillis, boolean success) {
		Counter counter = updatedCounter(key);
		counter.count = counter.count.plusTask(slotMillis, success);
	}

	private Counter updatedCounter(UsageKey key) {
		Counter counter = this.counters.computeIfAbsent(key, (k) -> new Counter());
		counter.changedSequence = ++this.sequence;
		return counter;
	}

	long sequence() {
		return this.sequence;
	}

	List<UsageRecord> changedSince(long since) {
		List<UsageRecord> records = new ArrayList<>();
		if (since >= this.sequence) {
			return records;
		}
		this.counters.forEach((key, counter) -> {
			if (counter.changedSequence > since) {
				records.add(new UsageRecord(this.agentRef, key, counter.count));
			}
		});
		return records;
	}

	/** A counter and the sequence number of its last change. */
	private static final class Counter {

		private UsageCount count = UsageCount.NONE;

		private long changedSequence;

	}

}
