package org.baobabspar.agent;

import org.baobabspar.message.EntryInfo;

/**
 * What an agent knows of one link to an entry. Used on the control thread only.
 */
final class EntryLink {

	private final String link;

	private EntryInfo entry;

	private long heardMillis;

	private long sentMillis;

	private int backlog;

	private int limit;

	private boolean drainAcknowledged;

	private boolean goodbyeAcknowledged;

	private long usageSequence;

	private long usageMillis;

	EntryLink(String link, long now) {
		this.link = link;
		this.heardMillis = now;
	}

	String link() {
		return this.link;
	}

	EntryInfo entry() {
		return this.entry;
	}

	String entryRef() {
		return (this.entry != null) ? this.entry.ref() : "";
	}

	void greet(EntryInfo e) {
		this.entry = e;
	}

	boolean heardWithin(long now, long millis) {
		return this.entry != null && now - this.heardMillis <= millis;
	}

	void heard(long now) {
		this.heardMillis = now;
	}

	long sentMillis() {
		return this.sentMillis;
	}

	void sent(long now, int sentLimit) {
		this.sentMillis = now;
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

	long usageMillis() {
		return this.usageMillis;
	}

	void usageSent(long now, long sequence) {
		this.usageMillis = now;
		this.usageSequence = sequence;
	}

}
