package org.baobabspar.agent;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.baobabspar.model.Claim;

/**
 * Remembers for the resubmission window which tasks were started here and which claims
 * are fenced. It is the only thing that decides whether a task may start, and it never
 * forgets early: when it is full, new starts are refused instead.
 * <p>
 * Invariant: a job stays for at least the window after it was last touched, and while any
 * of its tasks runs. Used on the control thread only.
 */
final class StartLedger {

	private final long windowMillis;

	private final int maxStarts;

	private final long maxResultBytes;

	private final Map<String, LedgerJob> jobs = new LinkedHashMap<>(64, 0.75f, true);

	private int starts;

	private long resultBytes;

	StartLedger(AgentSettings s) {
		this.windowMillis = s.windowMillis();
		this.maxStarts = s.maxStarts();
		this.maxResultBytes = s.maxResultBytes();
	}

	Optional<LedgerJob> find(String jobId) {
		return Optional.ofNullable(this.jobs.get(jobId));
	}

	LedgerJob open(long now, String jobId, Claim claim, String ownerRef, long bodyHash) {
		LedgerJob j = this.jobs.computeIfAbsent(jobId, (id) -> new LedgerJob(id, claim, ownerRef, bodyHash));
		j.touch(now);
		return j;
	}

	boolean full() {
		return this.starts >= this.maxStarts || this.resultBytes >= this.maxResultBytes;
	}

	void enter(LedgerJob j, LedgerTask t) {
		j.tasks().put(t.index(), t);
		this.starts++;
	}

	void withdraw(LedgerJob j, LedgerTask t) {
		j.tasks().remove(t.index());
		j.refuse(t.index(), t.dispatchId());
		this.starts--;
	}

	void end(long now, LedgerTask t) {
		this.resultBytes += t.resultBytes();
		find(t.jobId()).ifPresent((j) -> j.touch(now));
	}

	void expire(long now) {
		Iterator<LedgerJob> it = this.jobs.values().iterator();
		while (it.hasNext()) {
			LedgerJob j = it.next();
			if (now - j.touchedMillis() < this.windowMillis) {
				return;
			}
			if (!j.busy()) {
				it.remove();
				forget(j);
			}
		}
	}

	private void forget(LedgerJob j) {
		this.starts -= j.tasks().size();
		for (LedgerTask t : j.tasks().values()) {
			this.resultBytes -= t.resultBytes();
		}
	}

	int starts() {
		return this.starts;
	}

	int jobs() {
		return this.jobs.size();
	}

}
