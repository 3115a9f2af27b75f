package org.baobabspar.agent;

import org.baobabspar.message.Dispatch;
import org.baobabspar.model.TaskOutcome;
import org.baobabspar.model.TaskStatus;
import org.baobabspar.usage.UsageKey;

/**
 * One task in the start ledger.
 * <p>
 * Invariant: {@code startedMillis} is set at most once, and an ended task keeps its code
 * for as long as the ledger holds it. Used on the control thread only; the final fields
 * may be read anywhere.
 */
public final class LedgerTask {

	private static final byte[] NOTHING = new byte[0];

	private final String jobId;

	private final int index;

	private final long dispatchId;

	private final String ownerRef;

	private final String party;

	private final String taskClass;

	private final long documentVersion;

	private byte[] payload;

	private boolean started;

	private boolean ended;

	private long startedMillis;

	private long meteredMillis;

	private int code;

	private byte[] result = NOTHING;

	private long serviceMillis;

	LedgerTask(Dispatch d, String ownerRef) {
		this.jobId = d.jobId();
		this.index = d.index();
		this.dispatchId = d.dispatchId();
		this.ownerRef = ownerRef;
		this.party = d.party();
		this.taskClass = d.taskClass();
		this.documentVersion = d.documentVersion();
		this.payload = d.payload();
	}

	public String jobId() {
		return this.jobId;
	}

	public int index() {
		return this.index;
	}

	public String party() {
		return this.party;
	}

	public String taskClass() {
		return this.taskClass;
	}

	long dispatchId() {
		return this.dispatchId;
	}

	/**
	 * Return the entry whose allotment the task takes.
	 * @return the reference of the entry that dispatched it
	 */
	String ownerRef() {
		return this.ownerRef;
	}

	boolean started() {
		return this.started;
	}

	boolean ended() {
		return this.ended;
	}

	boolean running() {
		return this.started && !this.ended;
	}

	byte[] start(long now) {
		byte[] p = this.payload;
		this.payload = NOTHING;
		this.started = true;
		this.startedMillis = now;
		this.meteredMillis = now;
		return p;
	}

	void end(long now, int endCode, byte[] endResult) {
		this.ended = true;
		this.code = endCode;
		this.result = endResult;
		this.serviceMillis = now - this.startedMillis;
	}

	/**
	 * Return the slot time since the last call and count it as metered.
	 * @param now the agent's clock
	 * @return milliseconds
	 */
	long meter(long now) {
		long d = now - this.meteredMillis;
		this.meteredMillis = now;
		return d;
	}

	int resultBytes() {
		return this.result.length;
	}

	UsageKey usageKey(String month) {
		return new UsageKey(month, this.party, this.taskClass, this.documentVersion);
	}

	TaskOutcome outcome() {
		if (!this.ended) {
			return TaskOutcome.running(this.index);
		}
		return new TaskOutcome(this.index, TaskStatus.DONE, this.code, this.result, this.serviceMillis);
	}

}
