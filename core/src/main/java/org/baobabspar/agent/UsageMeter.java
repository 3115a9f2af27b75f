package org.baobabspar.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.baobabspar.usage.UsageCount;
import org.baobabspar.usage.UsageKey;
import org.baobabspar.usage.UsageRecord;

/**
 * Cumulative counters of one agent incarnation. Each change raises a sequence, so that a
 * link is sent only what changed since its last report; a new link is sent everything.
 * Running tasks are metered as they run, so that an agent that dies loses no more than
 * what it used since its last report.
 * <p>
 * Invariant: counters only grow. Used on the control thread only.
 */
final class UsageMeter {

	private final String agentRef;

	private final Map<UsageKey, Entry> entries = new HashMap<>();

	private long sequence;

	UsageMeter(String agentRef) {
		this.agentRef = agentRef;
	}

	void run(UsageKey key, long slotMillis) {
		Entry e = entry(key);
		e.count = new UsageCount(e.count.slotMillis() + slotMillis, e.count.completed(), e.count.failed());
	}

	void end(UsageKey key, long slotMillis, boolean success) {
		Entry e = entry(key);
		e.count = e.count.plusTask(slotMillis, success);
	}

	private Entry entry(UsageKey key) {
		Entry e = this.entries.computeIfAbsent(key, (k) -> new Entry());
		e.changed = ++this.sequence;
		return e;
	}

	long sequence() {
		return this.sequence;
	}

	List<UsageRecord> changedSince(long since) {
		List<UsageRecord> r = new ArrayList<>();
		if (since >= this.sequence) {
			return r;
		}
		this.entries.forEach((k, e) -> {
			if (e.changed > since) {
				r.add(new UsageRecord(this.agentRef, k, e.count));
			}
		});
		return r;
	}

	/** A counter and the sequence of its last change. */
	private static final class Entry {

		private UsageCount count = UsageCount.NONE;

		private long changed;

	}

}
