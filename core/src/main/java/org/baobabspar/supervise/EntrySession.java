package org.baobabspar.supervise;

import java.util.ArrayDeque;
import java.util.Deque;

import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.baobabspar.message.LeaseGrant;
import org.baobabspar.message.RunEnded;

/**
 * The state that an agent keeps for one incarnation of an entry: its link, the lease of
 * its runs and the ends that it has not confirmed. Outlives a broken link, so that the
 * runs continue if the entry reconnects within the lease. Used on the control thread
 * only.
 */
final class EntrySession {

	private static final int MAX_UNCONFIRMED_ENDS = 10_000;

	final String entry;

	final long incarnation;

	String link;

	boolean linked;

	long leaseUntilMillis;

	long lastStartSequence;

	long lastRequestMillis;

	/** The entry's clock as of its last grant, 0 before the first one. */
	long entryClockMillis;

	/** Whether the room has changed since the last request. */
	boolean statusDue;

	/** Whether the entry has to learn of a change at once. */
	boolean statusUrgent;

	/** Whether the link is about to be closed, so that new runs on it are refused. */
	boolean retiring;

	private long lastEndSequence;

	private final Deque<RunEnded> unconfirmedEnds = new ArrayDeque<>();

	EntrySession(String entry, long incarnation) {
		this.entry = entry;
		this.incarnation = incarnation;
	}

	RunEnded recordEnd(RunKey run, RunEnd end, long ranMillis) {
		RunEnded ended = new RunEnded(++this.lastEndSequence, run, end, ranMillis);
		this.unconfirmedEnds.add(ended);
		if (this.unconfirmedEnds.size() > MAX_UNCONFIRMED_ENDS) {
			this.unconfirmedEnds.remove();
		}
		return ended;
	}

	void confirmEnds(long sequence) {
		while (!this.unconfirmedEnds.isEmpty() && this.unconfirmedEnds.peek().sequence() <= sequence) {
			this.unconfirmedEnds.remove();
		}
	}

	Iterable<RunEnded> unconfirmedEnds() {
		return this.unconfirmedEnds;
	}

	/**
	 * Returns a name that no other incarnation of an entry has.
	 * @return the name
	 */
	String incarnationName() {
		return this.entry + "@" + this.incarnation;
	}

	/**
	 * Returns whether the lease had lapsed when a granted request was sent.
	 * @param grant the grant
	 * @return whether there is a gap between the lease and the grant
	 */
	boolean hadLapsedBefore(LeaseGrant grant) {
		return grant.sentMillis() >= this.leaseUntilMillis;
	}

	boolean hasLease(long nowMillis) {
		return nowMillis < this.leaseUntilMillis;
	}

}
