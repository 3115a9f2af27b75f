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
 * Appends the newest counters of agents to the log, in batches and one append at a time.
 * While the log is away, changes gather in the book, where a counter takes one place
 * however often it changes; a batch whose answer was lost is appended again, which does
 * no harm to cumulative counters.
 * <p>
 * Invariant: a counter that is not known to be on the log is in the book's changes or in
 * the pending batches. Used on the control thread only.
 */
final class UsageWriter {

	/** The stream of usage batches. */
	static final String STREAM = "usage";

	private static final Logger LOG = LogManager.getLogger(UsageWriter.class);

	private static final int BATCH_RECORDS = 500;

	private final LogClient log;

	private final Control control;

	private final UsageCounters book;

	private final String entryRef;

	private final Deque<UsageBatch> pending = new ArrayDeque<>();

	private boolean writing;

	private boolean reachable = true;

	UsageWriter(LogClient log, Control control, UsageCounters book, String entryRef) {
		this.log = log;
		this.control = control;
		this.book = book;
		this.entryRef = entryRef;
	}

	void flush() {
		if (this.writing) {
			return;
		}
		if (this.pending.isEmpty()) {
			List<UsageRecord> changed = this.book.takeChanged();
			for (int i = 0; i < changed.size(); i += BATCH_RECORDS) {
				int end = Math.min(changed.size(), i + BATCH_RECORDS);
				this.pending.add(new UsageBatch(this.entryRef, new ArrayList<>(changed.subList(i, end))));
			}
		}
		write();
	}

	private void write() {
		UsageBatch b = this.pending.peek();
		if (b == null) {
			return;
		}
		this.writing = true;
		this.log.append(STREAM, b).publishOn(this.control.scheduler()).subscribe((offset) -> written(), this::failed);
	}

	private void written() {
		this.writing = false;
		this.reachable = true;
		this.pending.poll();
		write();
	}

	private void failed(Throwable ex) {
		if (this.reachable) {
			LOG.warn("usage: the log is away, {} batches wait: {}.", this.pending.size(), ex.getMessage());
		}
		this.writing = false;
		this.reachable = false;
	}

	boolean idle() {
		return !this.writing && this.pending.isEmpty();
	}

}
