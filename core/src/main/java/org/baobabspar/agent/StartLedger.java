package org.baobabspar.agent;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.baobabspar.model.Claim;

/**
 * Records which tasks were started at this agent and which claims are fenced, for the
 * length of the resubmission window. It is the only authority on whether a task may
 * start, and it never evicts records early: when it is full, new starts are refused.
 * <p>
 * Invariant: the record of a job is retained for at least the resubmission window after
 * its last access, and while any of its tasks is unfinished. Not thread-safe: used on the
 * control thread only.
 */
final class StartLedger {

	private final long windowMillis;

	private final int maxStarts;

	private final long maxResultBytes;

	private final Map<String, LedgerJob> jobs = new LinkedHashMap<>(64, 0.75f, true);

	private int starts;

	private long resultBytes;

	StartLedger(AgentSettings settings) {
		this.windowMillis = settings.windowMillis();
		this.maxStarts = settings.maxStarts();
		this.maxResultBytes = settings.maxResultBytes();
	}

	Optional<LedgerJob> find(String jobId) {
		return Optional.ofNullable(this.jobs.get(jobId));
	}

	LedgerJob getOrCreate(long now, String jobId, Claim claim, String ownerRef, long bodyHash) {
		LedgerJob job = this.jobs.computeIfAbsent(jobId, (id) -> new LedgerJob(id, claim, ownerRef, bodyHash));
		job.recordAccess(now);
		return job;
	}

	boolean isFull() {
		return this.starts >= this.maxStarts || this.resultBytes >= this.maxResultBytes;
	}

	void recordTask(LedgerJob job, LedgerTask task) {
		job.tasks().put(task.index(), task);
		this.starts++;
	}

	void withdrawTask(LedgerJob job, LedgerTask task) {
		job.tasks().remove(task.index());
		job.recordRefusal(task.index(), task.dispatchId());
		this.starts--;
	}

	void recordEnd(long now, LedgerTask task) {
		this.resultBytes += task.resultBytes();
		find(task.jobId()).ifPresent((job) -> job.recordAccess(now));
	}

	void expire(long now) {
		Iterator<LedgerJob> iterator = this.jobs.values().iterator();
		while (iterator.hasNext()) {
			LedgerJob job = iterator.next();
			if (now - job.lastAccessMillis() < this.windowMillis) {
				return;
			}
			if (!job.hasUnfinishedTasks()) {
				iterator.remove();
				subtractTotals(job);
			}
		}
	}

	private void subtractTotals(LedgerJob job) {
		this.starts -= job.tasks().size();
		for (LedgerTask task : job.tasks().values()) {
			this.resultBytes -= task.resultBytes();
		}
	}

	int starts() {
		return this.starts;
	}

	int jobs() {
		return this.jobs.size();
	}

}
