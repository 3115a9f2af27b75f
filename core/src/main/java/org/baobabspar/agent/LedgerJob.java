package org.baobabspar.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.baobabspar.model.Claim;
import org.baobabspar.model.TaskOutcome;

/**
 * The record of one job in the start ledger: the highest claim seen, the tasks, and the
 * dispatches that were refused. Refusals are retained because the entry may have placed
 * the task elsewhere by the time a duplicate of the refused dispatch arrives.
 * <p>
 * Invariant: the claim never decreases. Not thread-safe: used on the control thread only.
 */
final class LedgerJob {

	private final String jobId;

	private final Map<Integer, LedgerTask> tasks = new HashMap<>();

	private final Map<Integer, Long> refusedDispatchIds = new HashMap<>();

	private Claim claim;

	private String ownerRef;

	private long bodyHash;

	private long lastAccessMillis;

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

	long lastAccessMillis() {
		return this.lastAccessMillis;
	}

	void recordAccess(long now) {
		this.lastAccessMillis = now;
	}

	void raiseClaim(Claim newClaim, String newOwnerRef) {
		this.claim = newClaim;
		this.ownerRef = newOwnerRef;
	}

	void setBodyHash(long hash) {
		this.bodyHash = hash;
	}

	Map<Integer, LedgerTask> tasks() {
		return this.tasks;
	}

	Optional<LedgerTask> task(int index) {
		return Optional.ofNullable(this.tasks.get(index));
	}

	boolean hasUnfinishedTasks() {
		return this.tasks.values().stream().anyMatch((t) -> !t.ended());
	}

	boolean hasStartedTasks() {
		return this.tasks.values().stream().anyMatch(LedgerTask::started);
	}

	void recordRefusal(int index, long dispatchId) {
		this.refusedDispatchIds.merge(index, dispatchId, Math::max);
	}

	boolean wasRefused(int index, long dispatchId) {
		return this.refusedDispatchIds.getOrDefault(index, Long.MIN_VALUE) >= dispatchId;
	}

	List<TaskOutcome> startedTasks() {
		List<TaskOutcome> outcomes = new ArrayList<>();
		for (LedgerTask task : this.tasks.values()) {
			if (task.started()) {
				outcomes.add(task.outcome());
			}
		}
		return outcomes;
	}

}
