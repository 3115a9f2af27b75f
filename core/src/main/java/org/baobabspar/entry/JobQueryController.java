package org.baobabspar.entry;

import org.baobabspar.message.EntryInfo;
import org.baobabspar.message.JobAsk;
import org.baobabspar.message.JobAskReply;
import org.baobabspar.message.JobEnded;
import org.baobabspar.message.JobStanding;
import org.baobabspar.model.CodeFamily;

/**
 * Answers the job queries of other entries. Every reply except that the job is held here
 * promises to refuse claims lower than that of the querying entry for the duration of the
 * window. Of two entries that query each other before either has started a task, the one
 * with the lower claim yields and hands over its callers.
 * <p>
 * Example: A queries with claim (1, 70, 0) while B is querying with claim (1, 30, 0). B
 * yields and waits for A's answer; A finds that its own claim is higher and replies to B
 * that it holds the job.
 * <p>
 * Invariant: a job that may have been started here is never reported as not held. Not
 * thread-safe; used on the control thread only.
 */
final class JobQueryController {

	private final Blackboard blackboard;

	private final JobController jobs;

	JobQueryController(Blackboard blackboard, JobController jobs) {
		this.blackboard = blackboard;
		this.jobs = jobs;
	}

	/**
	 * Replies to the job query of another entry.
	 * @param link the link on which it arrived
	 * @param from the querying entry
	 * @param query the query
	 */
	void answer(String link, EntryInfo from, JobAsk query) {
		JobStanding standing = standingFor(link, from, query);
		this.blackboard.send(link, new JobAskReply(query.askId(), query.jobId(), standing));
		JobRecord job = this.blackboard.jobs().get(query.jobId());
		if (standing == JobStanding.HELD && job != null && job.state() == JobState.ENDED) {
			this.blackboard.send(link, new JobEnded(job.answer()));
		}
	}

	private JobStanding standingFor(String link, EntryInfo from, JobAsk query) {
		JobRecord job = this.blackboard.jobs().get(query.jobId());
		if (job == null) {
			return promise(query);
		}
		if (job.state() == JobState.ATTACHED) {
			job.markUnseenAttemptsPossible();
			return promise(query);
		}
		if (job.bodyHash() != query.bodyHash() && !job.replaceable()) {
			return JobStanding.BODY_DIFFERS;
		}
		if (job.state() == JobState.ENDED) {
			return job.replaceable() ? standingOfReplaceable(job, query) : JobStanding.HELD;
		}
		if (job.state().holdsTasks() || job.claim().compareTo(query.claim()) > 0) {
			job.subscribedLinks().add(link);
			this.jobs.recordPromise(query.jobId(), query.claim());
			return JobStanding.HELD;
		}
		job.attach(from.address(), this.blackboard.now());
		this.jobs.recordPromise(query.jobId(), query.claim());
		return job.fenceRequired() ? JobStanding.YIELDED_IN_DOUBT : JobStanding.YIELDED;
	}

	private JobStanding promise(JobAsk query) {
		ClaimPromise promise = this.blackboard.claimPromises().get(query.jobId());
		if (promise != null && promise.claim().compareTo(query.claim()) > 0) {
			return JobStanding.SUPERSEDED;
		}
		this.jobs.recordPromise(query.jobId(), query.claim());
		return JobStanding.NOT_HELD;
	}

	private JobStanding standingOfReplaceable(JobRecord job, JobAsk query) {
		JobStanding standing = promise(query);
		boolean unknown = job.answer().resultCode().family() == CodeFamily.UNKNOWN;
		return (standing == JobStanding.NOT_HELD && unknown) ? JobStanding.IN_DOUBT : standing;
	}

}
