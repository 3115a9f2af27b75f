package org.baobabspar.dispatch;

import java.util.function.Consumer;

import org.baobabspar.fleet.JobSubmission;

/**
 * A connection on which a caller submits one job and waits for the answer.
 * <p>
 * Invariant: the caller gets either the answer or the break of the connection, once, and
 * neither after it has closed the connection. Not thread-safe.
 */
final class CallerConnection implements Consumer<JobReply> {

	final JobSubmission order;

	/** The time for which the caller waits for an answer. */
	final long timeoutMillis;

	private final SimulatedEntry entry;

	private final Consumer<JobReply> onReply;

	private final Runnable onBreak;

	private boolean open = true;

	private boolean reset;

	private boolean closeRead;

	CallerConnection(JobSubmission order, long timeoutMillis, SimulatedEntry entry, Consumer<JobReply> onReply,
			Runnable onBreak) {
		this.order = order;
		this.timeoutMillis = timeoutMillis;
		this.entry = entry;
		this.onReply = onReply;
		this.onBreak = onBreak;
	}

	@Override
	public void accept(JobReply reply) {
		this.entry.reply(this, reply);
	}

	void deliverReply(JobReply reply) {
		if (this.open) {
			this.open = false;
			this.onReply.accept(reply);
		}
	}

	void breakAtCaller() {
		if (this.open) {
			this.open = false;
			this.onBreak.run();
		}
	}

	/** Resets the connection, so that nothing that is in flight arrives. */
	void reset() {
		this.reset = true;
	}

	boolean wasReset() {
		return this.reset;
	}

	/** Records that the entry has read that the caller has closed the connection. */
	void readClose() {
		this.closeRead = true;
	}

	boolean closeWasRead() {
		return this.closeRead;
	}

	boolean open() {
		return this.open;
	}

	/** Closes the connection by the caller. */
	void close() {
		if (this.open) {
			this.open = false;
			this.entry.disconnect(this);
		}
	}

}
