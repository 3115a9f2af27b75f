package org.baobabspar.daemon;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.baobabspar.usage.UsageBatch;
import org.baobabspar.usage.UsageCounters;
import org.baobabspar.usage.UsageRecord;

/**
 * Appends the latest usage counters of agents to the log, in batches and with one append
 * in flight. While the log is unavailable, changes accumulate in the counters, where each
 * counter occupies one place however often it changes. A batch whose append failed or was
 * not acknowledged is appended again, which is idempotent since counters are cumulative.
 * <p>
 * Invariant: a counter that is not known to be on the log is among the changed counters
 * or in a pending batch. Used on the control thread only.
 */
final class UsageWriter {

	/** The stream of usage batches. */
	static final String STREAM = "usage";

	private static final Logger LOG = LogManager.getLogger(UsageWriter.class);

	private static final int MAX_BATCH_RECORDS = 500;

	private final LogClient log;

	private final Control control;

	private final UsageCounters counters;

	private final String entryRef;

	private final Deque<UsageBatch> pending = new ArrayDeque<>();

	private boolean appendInFlight;

	private boolean logReachable = true;

	UsageWriter(LogClient log, Control control, UsageCounters counters, String entryRef) {
		this.log = log;
		this.control = control;
		this.counters = counters;
		this.entryRef = entryRef;
	}

	void flush() {
		if (this.appendInFlight) {
			return;
		}
		if (this.pending.isEmpty()) {
			List<UsageRecord> changed = this.counters.takeChanged();
			for (int i = 0; i < changed.size(); i += MAX_BATCH_RECORDS) {
				int end = Math.min(changed.size(), i + MAX_BATCH_RECORDS);
				this.pending.add(new UsageBatch(this.entryRef, new ArrayList<>(changed.subList(i, end))));
			}
		}
		appendNext();
	}

	private void appendNext() {
		UsageBatch batch = this.pending.peek();
		if (batch == null) {
			return;
		}
		this.appendInFlight = true;
		this.log.append(STREAM, batch)
			.publishOn(this.control.scheduler())
			.subscribe((offset) -> onAppended(), this::onAppendFailed);
	}

	private void onAppended() {
		this.appendInFlight = false;
		this.logReachable = true;
		this.pending.poll();
		appendNext();
	}

	private void onAppendFailed(Throwable ex) {
		if (this.logReachable) {
			LOG.warn("usage: the log is away, {} batches pending: {}.", this.pending.size(), ex.getMessage());
		}
		this.appendInFlight = false;
		this.logReachable = false;
	}

	boolean idle() {
		return !this.appendInFlight && this.pending.isEmpty();
	}

}
