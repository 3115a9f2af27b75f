package org.baobabspar.entry;

import org.baobabspar.message.EntryInfo;
import org.baobabspar.message.JobAsk;
import org.baobabspar.message.JobAskReply;
import org.baobabspar.message.JobEnded;
import org.baobabspar.message.JobStanding;
import org.baobabspar.model.CodeFamily;

/**
 * Answers other entries that ask about a job. Each answer but one that holds the job here
 * is a promise to give way to the asker's claim for the window. Of two entries that ask
 * each other before either has started anything, the one with the lower claim gives way
 * and hands its callers over.
 * <p>
 * Example: A asks with (1, 70, 0) while B is asking with (1, 30, 0). B yields and waits
 * for A's answer; A finds its own claim the higher one and answers B that it holds the
 * job.
 * <p>
 * Invariant: a job that may have been started here is never answered as not held. Used on
 * the control thread only.
 */
final class AskController {

	private final Blackboard board;

	private final JobController jobs;

	AskController(Blackboard board, JobController jobs) {
		this.board = board;
		this.jobs = jobs;
	}

	/**
	 * Take another entry's question.
	 * @param link the link it came on
	 * @param from the other entry
	 * @param m the question
	 */
	void answer(String link, EntryInfo from, JobAsk m) {
		JobStanding s = standing(link, from, m);
		this.board.send(link, new JobAskReply(m.askId(), m.jobId(), s));
		JobRecord j = this.board.jobs().get(m.jobId());
		if (s == JobStanding.HELD && j != null && j.state() == JobState.ENDED) {
			this.board.send(link, new JobEnded(j.answer()));
		}
	}

	private JobStanding standing(String link, EntryInfo from, JobAsk m) {
		JobRecord j = this.board.jobs().get(m.jobId());
		if (j == null) {
			return promise(m);
		}
		if (j.state() == JobState.ATTACHED) {
			j.unprove();
			return promise(m);
		}
		if (j.bodyHash() != m.bodyHash() && !j.replaceable()) {
			return JobStanding.BODY_DIFFERS;
		}
		if (j.state() == JobState.ENDED) {
			return j.replaceable() ? inDoubt(j, m) : JobStanding.HELD;
		}
		if (j.state().holdsTasks() || j.claim().compareTo(m.claim()) > 0) {
			j.remoteWaiters().add(link);
			this.jobs.promise(m.jobId(), m.claim());
			return JobStanding.HELD;
		}
		j.attach(from.address(), this.board.now());
		this.jobs.promise(m.jobId(), m.claim());
		return j.fenceNeeded() ? JobStanding.YIELDED_IN_DOUBT : JobStanding.YIELDED;
	}

	private JobStanding promise(JobAsk m) {
		FencedKey f = this.board.fencedKeys().get(m.jobId());
		if (f != null && f.claim().compareTo(m.claim()) > 0) {
			return JobStanding.SUPERSEDED;
		}
		this.jobs.promise(m.jobId(), m.claim());
		return JobStanding.NOT_HELD;
	}

	private JobStanding inDoubt(JobRecord j, JobAsk m) {
		JobStanding s = promise(m);
		boolean unknown = j.answer().resultCode().family() == CodeFamily.UNKNOWN;
		return (s == JobStanding.NOT_HELD && unknown) ? JobStanding.IN_DOUBT : s;
	}

}
