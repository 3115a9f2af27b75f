package org.baobabspar.agent;

import org.baobabspar.message.EntryInfo;

/**
 * The state of an agent's link to one entry: the identity of the entry, the times of the
 * last messages, the backlog that the entry announced and the limit that it was sent. Not
 * thread-safe: used on the control thread only.
 */
final class EntryLink {

	private final String name;

	private EntryInfo entry;

	private long lastReceivedMillis;

	private long lastSentMillis;

	private int backlog;

	private int limit;

	private boolean drainAcknowledged;

	private boolean goodbyeAcknowledged;

	private long usageSequence;

	private long usageSentMillis;

	EntryLink(String name, long now) {
		this.name = name;
		this.lastReceivedMillis = now;
	}

	String name() {
		return this.name;
	}

	EntryInfo entry() {
		return this.entry;
	}

	String entryRef() {
		return (this.entry != null) ? this.entry.ref() : "";
	}

	void identify(EntryInfo info) {
		this.entry = info;
	}

	boolean activeWithin(long now, long millis) {
		return this.entry != null && now - this.lastReceivedMillis <= millis;
	}

	void recordReceived(long now) {
		this.lastReceivedMillis = now;
	}

	long lastSentMillis() {
		return this.lastSentMillis;
	}

	void recordSent(long now, int sentLimit) {
		this.lastSentMillis = now;
		this.limit = sentLimit;
	}

	int backlog() {
		return this.backlog;
	}

	void backlog(int tasks) {
		this.backlog = tasks;
	}

	int limit() {
		return this.limit;
	}

	boolean drainAcknowledged() {
		return this.drainAcknowledged;
	}

	void acknowledgeDrain() {
		this.drainAcknowledged = true;
	}

	boolean goodbyeAcknowledged() {
		return this.goodbyeAcknowledged;
	}

	void acknowledgeGoodbye() {
		this.goodbyeAcknowledged = true;
	}

	long usageSequence() {
		return this.usageSequence;
	}

	long usageSentMillis() {
		return this.usageSentMillis;
	}

	void recordUsageSent(long now, long sequence) {
		this.usageSentMillis = now;
		this.usageSequence = sequence;
	}

}
