package org.baobabspar.agent;

import org.baobabspar.message.Dispatch;
import org.baobabspar.model.TaskOutcome;
import org.baobabspar.model.TaskStatus;
import org.baobabspar.usage.UsageKey;

/**
 * The record of one task in the start ledger.
 * <p>
 * Invariant: {@code startedMillis} is set at most once, and an ended task retains its
 * code until the ledger removes it. Used on the control thread only, except that the
 * final fields may be read on any thread.
 */
public final class LedgerTask {

	private static final byte[] NO_BYTES = new byte[0];

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

	private byte[] result = NO_BYTES;

	private long serviceMillis;

	LedgerTask(Dispatch dispatch, String ownerRef) {
		this.jobId = dispatch.jobId();
		this.index = dispatch.index();
		this.dispatchId = dispatch.dispatchId();
		this.ownerRef = ownerRef;
		this.party = dispatch.party();
		this.taskClass = dispatch.taskClass();
		this.documentVersion = dispatch.documentVersion();
		this.payload = dispatch.payload();
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
	 * Returns the entry whose slot allocation the task uses.
	 * @return the reference of the entry that dispatched the task
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

	/**
	 * Marks the task as started and releases its payload.
	 * @param now the agent's clock
	 * @return the payload
	 */
	byte[] start(long now) {
		byte[] startedPayload = this.payload;
		this.payload = NO_BYTES;
		this.started = true;
		this.startedMillis = now;
		this.meteredMillis = now;
		return startedPayload;
	}

	void end(long now, int endCode, byte[] endResult) {
		this.ended = true;
		this.code = endCode;
		this.result = endResult;
		this.serviceMillis = now - this.startedMillis;
	}

	/**
	 * Returns the slot time since the previous call, or since the start of the task, and
	 * marks it as metered.
	 * @param now the agent's clock
	 * @return milliseconds
	 */
	long takeUnmeteredMillis(long now) {
		long elapsedMillis = now - this.meteredMillis;
		this.meteredMillis = now;
		return elapsedMillis;
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
