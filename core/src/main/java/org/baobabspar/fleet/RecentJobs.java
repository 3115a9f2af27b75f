package org.baobabspar.fleet;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of jobs of which something became known lately.
 * <p>
 * Invariants: a job is forgotten {@value #RETENTION_MILLIS} ms after the time with which
 * it was added; at most {@value #MAX_JOBS} jobs are remembered, and those that were added
 * first are forgotten first. Not thread-safe; used on the control thread only.
 */
public final class RecentJobs {

	/** Time for which a caller may ask for the state of a job. */
	public static final long RETENTION_MILLIS = 120_000;

	/** Bounds the memory of a process and the size of a message to about 100 KB. */
	public static final int MAX_JOBS = 4_000;

	private final Map<String, Long> sinceMillisById = new LinkedHashMap<>();

	/**
	 * Adds a job.
	 * @param jobId id of the job
	 * @param sinceMillis since when that is so which is to be remembered
	 * @param nowMillis the current time
	 * @return whether the job was not known
	 */
	public boolean add(String jobId, long sinceMillis, long nowMillis) {
		if (nowMillis - sinceMillis > RETENTION_MILLIS
				|| this.sinceMillisById.putIfAbsent(jobId, sinceMillis) != null) {
			return false;
		}
		evict(nowMillis);
		return true;
	}

	/**
	 * Tells whether a job is remembered.
	 * @param jobId id of the job
	 * @return whether it is
	 */
	public boolean contains(String jobId) {
		return this.sinceMillisById.containsKey(jobId);
	}

	/**
	 * Returns all jobs with the times with which they were added.
	 * @param nowMillis the current time
	 * @return the times by the ids of the jobs, the oldest first
	 */
	public Map<String, Long> all(long nowMillis) {
		evict(nowMillis);
		return new LinkedHashMap<>(this.sinceMillisById);
	}

	private void evict(long nowMillis) {
		Iterator<Long> oldest = this.sinceMillisById.values().iterator();
		while (oldest.hasNext()) {
			boolean expired = nowMillis - oldest.next() > RETENTION_MILLIS;
			if (!expired && this.sinceMillisById.size() <= MAX_JOBS) {
				return;
			}
			oldest.remove();
		}
	}

}
