package org.baobabspar.entry;

import org.baobabspar.model.ResultCode;

/**
 * The summary of an ended job for metrics and logs. Immutable.
 *
 * @param jobId the job
 * @param party the party
 * @param taskClass the class
 * @param tasks the number of tasks
 * @param code the result code
 * @param responseMillis the time from arrival to the end
 * @param waitMillis the time from arrival to the first start, or to the end if no task
 * was started
 */
public record JobSummary(String jobId, String party, String taskClass, int tasks, ResultCode code, long responseMillis,
		long waitMillis) {
}
