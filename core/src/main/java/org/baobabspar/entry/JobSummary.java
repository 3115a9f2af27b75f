package org.baobabspar.entry;

import org.baobabspar.model.ResultCode;

/**
 * What metrics and logs are told of an ended job. Immutable.
 *
 * @param jobId the job
 * @param party the party
 * @param taskClass the class
 * @param tasks the number of tasks
 * @param code how it ended
 * @param responseMillis from its arrival to its end
 * @param waitMillis from its arrival to its first start, or to its end if nothing started
 */
public record JobSummary(String jobId, String party, String taskClass, int tasks, ResultCode code, long responseMillis,
		long waitMillis) {
}
