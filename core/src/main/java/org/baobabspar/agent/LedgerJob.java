package org.baobabspar.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.baobabspar.model.Claim;
import org.baobabspar.model.TaskOutcome;

/**
 * What the start ledger holds of one job: the highest claim seen, the tasks, and the
 * dispatches that were refused. A refusal is remembered, since the entry may have placed
 * the task elsewhere by the time that a duplicate of the refused dispatch arrives.
 * <p>
 * Invariant: the claim never goes down. Used on the control thread only.
 */
final class LedgerJob {

	private final String jobId;

	private final Map<Integer, LedgerTask> tasks = new HashMap<>();

	private final Map<Integer, Long> refused = new HashMap<>();

	private Claim claim;

	private String ownerRef;

	private long bodyHash;

	private long touchedMillis;

	LedgerJob(String jobId, Claim claim, String ownerRef, long bodyHash) {
		this.jobId = jobId;
		this.claim = claim;
		this.ownerRef = ownerRef;
		this.bodyHash = bodyHash;
	}

	String jobId() {
		return this.jobId;
	}

	Claim claim() {
		return this.claim;
	}

	String ownerRef() {
		return this.ownerRef;
	}

	long bodyHash() {
		return this.bodyHash;
	}

	long touchedMillis() {
		return this.touchedMillis;
	}

	void touch(long now) {
		this.touchedMillis = now;
	}

	void raise(Claim c, String owner) {
		this.claim = c;
		this.ownerRef = owner;
	}

	void adoptBody(long hash) {
		this.bodyHash = hash;
	}

	Map<Integer, LedgerTask> tasks() {
		return this.tasks;
	}

	Optional<LedgerTask> task(int index) {
		return Optional.ofNullable(this.tasks.get(index));
	}

	boolean busy() {
		return this.tasks.values().stream().anyMatch((t) -> !t.ended());
	}

	boolean everStarted() {
		return this.tasks.values().stream().anyMatch(LedgerTask::started);
	}

	void refuse(int index, long dispatchId) {
		this.refused.merge(index, dispatchId, Math::max);
	}

	boolean refusedBefore(int index, long dispatchId) {
		return this.refused.getOrDefault(index, Long.MIN_VALUE) >= dispatchId;
	}

	List<TaskOutcome> startedTasks() {
		List<TaskOutcome> r = new ArrayList<>();
		for (LedgerTask t : this.tasks.values()) {
			if (t.started()) {
				r.add(t.outcome());
			}
		}
		return r;
	}

}
