package org.baobabspar.supervise;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.baobabspar.fleet.Batches;
import org.baobabspar.fleet.CancelledJob;
import org.baobabspar.fleet.CancelledJobs;
import org.baobabspar.message.CancelNotice;
import org.baobabspar.message.CancelReply;

/**
 * The part of an agent in the cancellation of jobs. A caller may cancel its job at any
 * entry, and the entry that holds the job need not be linked to that one, but agents are
 * linked to several entries. So an agent remembers the cancelled jobs, refuses their
 * starts, and passes each notice on to its other entries.
 * <p>
 * Invariants: a notice with a number is confirmed only after each entry that was linked
 * when it was passed on has confirmed it or lost its link, and with its link the lease of
 * its runs; an entry that links again learns of all cancelled jobs before it is granted
 * anything; a notice without a number is passed on only if it was new. Not thread-safe;
 * used on the control thread only.
 */
final class CancellationRelay {

	private final CancelledJobs jobs = new CancelledJobs();

	private final RelayRounds rounds;

	private final SupervisorOutbox outbox;

	private final RunStopper stopper;

	CancellationRelay(SupervisorOutbox outbox, RunStopper stopper) {
		this.outbox = outbox;
		this.stopper = stopper;
		this.rounds = new RelayRounds(
				(link, sequence, complete, knownJobIds) -> outbox.send(link, new CancelReply(sequence, knownJobIds)));
	}

	boolean isCancelled(String jobId) {
		return this.jobs.contains(jobId);
	}

	/**
	 * Handles the notice of an entry.
	 * @param link the link of the entry
	 * @param notice the notice
	 * @param otherLinks links of the other entries
	 * @param nowMillis the current time
	 */
	void handleNotice(String link, CancelNotice notice, Collection<String> otherLinks, long nowMillis) {
		List<CancelledJob> added = notice.jobs().stream().filter((job) -> this.jobs.add(job, nowMillis)).toList();
		Set<String> known = new HashSet<>();
		for (CancelledJob job : notice.jobs()) {
			if (this.stopper.stopRunsOf(job.jobId(), nowMillis)) {
				known.add(job.jobId());
			}
		}
		if (notice.sequence() > 0) {
			long sequence = this.rounds.begin(link, notice.sequence(), known, true, otherLinks);
			send(otherLinks, new CancelNotice(sequence, notice.jobs()));
			this.rounds.answerEnded();
		}
		else if (!added.isEmpty()) {
			send(otherLinks, new CancelNotice(0, added));
		}
	}

	private void send(Collection<String> links, CancelNotice notice) {
		links.forEach((link) -> this.outbox.send(link, notice));
	}

	void handleReply(String link, CancelReply reply) {
		this.rounds.handleAnswer(link, reply.sequence(), true, reply.knownJobIds());
	}

	/**
	 * Tells an entry that has linked of all cancelled jobs.
	 * @param link the link of the entry
	 * @param nowMillis the current time
	 */
	void linked(String link, long nowMillis) {
		Batches.of(this.jobs.all(nowMillis)).forEach((jobs) -> this.outbox.send(link, new CancelNotice(0, jobs)));
	}

	void unlinked(String link) {
		this.rounds.unlinked(link);
	}

	/** Stops the runs of cancelled jobs. */
	@FunctionalInterface
	interface RunStopper {

		/**
		 * Stops the runs of a job.
		 * @param jobId id of the job
		 * @param nowMillis the current time
		 * @return whether there were any
		 */
		boolean stopRunsOf(String jobId, long nowMillis);

	}

}
