package org.baobabspar.fleet;

import java.util.List;

/**
 * The jobs that were cancelled lately, so that a copy of a request that was held up on
 * its way does not start its job again.
 * <p>
 * Invariant: a job is forgotten {@value RecentJobs#RETENTION_MILLIS} ms after it was
 * cancelled, whichever process it was heard from and when. Not thread-safe; used on the
 * control thread only.
 */
public final class CancelledJobs {

	private final RecentJobs jobs = new RecentJobs();

	/**
	 * Adds a job.
	 * @param job the job
	 * @param nowMillis the current time
	 * @return whether the job was not known as cancelled
	 */
	public boolean add(CancelledJob job, long nowMillis) {
		return this.jobs.add(job.jobId(), nowMillis - job.ageMillis(), nowMillis);
	}

	/**
	 * Tells whether a job is known as cancelled.
	 * @param jobId id of the job
	 * @return whether it must not run
	 */
	public boolean contains(String jobId) {
		return this.jobs.contains(jobId);
	}

	/**
	 * Returns all jobs with their present age.
	 * @param nowMillis the current time
	 * @return the jobs
	 */
	public List<CancelledJob> all(long nowMillis) {
		return this.jobs.all(nowMillis)
			.entrySet()
			.stream()
			.map((e) -> new CancelledJob(e.getKey(), Math.max(0, nowMillis - e.getValue())))
			.toList();
	}

}
