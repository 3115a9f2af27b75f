package org.baobabspar.supervise;

import java.util.List;
import java.util.function.BiPredicate;

import org.baobabspar.fleet.Batches;
import org.baobabspar.fleet.ClaimedJob;
import org.baobabspar.fleet.RecentJobs;
import org.baobabspar.message.JobClaim;
import org.baobabspar.message.JobClaimReply;

/**
 * The part of an agent in the claims of jobs. An entry that reads a request of unknown
 * age asks its agents whether another entry has the job, and agents, which are linked to
 * several entries, pass the question on.
 * <p>
 * Invariants: a claim is answered as complete only if each entry that may have runs in
 * the fleet, as far as this agent knows, was linked and has answered; an entry that links
 * learns of all jobs that were claimed lately before it can start anything here. Not
 * thread-safe; used on the control thread only.
 */
final class JobClaimRelay {

	private final RecentJobs jobs = new RecentJobs();

	private final RelayRounds rounds;

	private final SupervisorOutbox outbox;

	private final EntrySessionRegistry sessions;

	private final BiPredicate<String, EntrySession> foreignRuns;

	/**
	 * Creates the relay.
	 * @param outbox sends messages
	 * @param sessions the entries
	 * @param foreignRuns tells of the id of a job and an entry whether another entry has
	 * runs of the job at this agent
	 */
	JobClaimRelay(SupervisorOutbox outbox, EntrySessionRegistry sessions,
			BiPredicate<String, EntrySession> foreignRuns) {
		this.outbox = outbox;
		this.sessions = sessions;
		this.foreignRuns = foreignRuns;
		this.rounds = new RelayRounds((link, sequence, complete, heldJobIds) -> outbox.send(link,
				new JobClaimReply(sequence, complete, heldJobIds)));
	}

	/**
	 * Handles the claim of an entry.
	 * @param claimant the entry
	 * @param claim the claim
	 * @param nowMillis the current time
	 */
	void handleClaim(EntrySession claimant, JobClaim claim, long nowMillis) {
		claim.jobs().forEach((job) -> this.jobs.add(job.jobId(), nowMillis, nowMillis));
		List<String> held = claim.jobs()
			.stream()
			.map(ClaimedJob::jobId)
			.filter((id) -> this.foreignRuns.test(id, claimant))
			.toList();
		List<EntrySession> others = this.sessions.linked().stream().filter((other) -> other != claimant).toList();
		long sequence = this.rounds.begin(claimant.link, claim.sequence(), held,
				!this.sessions.hasLostRecently(nowMillis), others.stream().map((other) -> other.link).toList());
		for (EntrySession other : others) {
			boolean precedes = claimant.incarnationName().compareTo(other.incarnationName()) < 0;
			this.outbox.send(other.link, new JobClaim(sequence, precedes, claim.jobs()));
		}
		this.rounds.answerEnded();
	}

	void handleReply(String link, JobClaimReply reply) {
		this.rounds.handleAnswer(link, reply.sequence(), reply.complete(), reply.heldJobIds());
	}

	/**
	 * Tells an entry that has linked of the claimed jobs.
	 * @param link the link of the entry
	 * @param nowMillis the current time
	 */
	void linked(String link, long nowMillis) {
		List<ClaimedJob> all = this.jobs.all(nowMillis)
			.keySet()
			.stream()
			.map((id) -> new ClaimedJob(id, false))
			.toList();
		Batches.of(all).forEach((batch) -> this.outbox.send(link, new JobClaim(0, false, batch)));
	}

	void unlinked(String link) {
		this.rounds.unlinked(link);
	}

}
