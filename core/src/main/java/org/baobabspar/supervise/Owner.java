package org.baobabspar.supervise;

import java.util.ArrayDeque;
import java.util.Deque;

import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.baobabspar.message.RunEnded;

/**
 * One lifetime of an entry, as an agent sees it: its link, the lease of its runs and the
 * ends that it has not confirmed. Outlives a broken link, so that the runs go on if the
 * entry is back within the lease. Used on the control thread only.
 */
final class Owner {

	private static final int MAX_KEPT_ENDS = 10_000;

	final String name;

	String link;

	boolean linked;

	long leaseUntilMillis;

	long lastStartSequence;

	long lastRequestMillis;

	/** Whether the room has changed since the last request. */
	boolean statusDue;

	/** Whether the entry should know of a change at once. */
	boolean statusUrgent;

	/** Whether the link is about to be closed, so that no new runs are taken on it. */
	boolean retiring;

	private long lastEndSequence;

	private final Deque<RunEnded> ends = new ArrayDeque<>();

	Owner(String name) {
		this.name = name;
	}

	RunEnded end(RunKey run, RunEnd end, long ranMillis) {
		RunEnded e = new RunEnded(++this.lastEndSequence, run, end, ranMillis);
		this.ends.add(e);
		if (this.ends.size() > MAX_KEPT_ENDS) {
			this.ends.remove();
		}
		return e;
	}

	void confirm(long sequence) {
		while (!this.ends.isEmpty() && this.ends.peek().sequence() <= sequence) {
			this.ends.remove();
		}
	}

	Iterable<RunEnded> unconfirmed() {
		return this.ends;
	}

	boolean leased(long nowMillis) {
		return nowMillis < this.leaseUntilMillis;
	}

}
