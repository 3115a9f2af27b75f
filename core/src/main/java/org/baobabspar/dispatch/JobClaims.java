package org.baobabspar.dispatch;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.baobabspar.fleet.Batches;
import org.baobabspar.fleet.ClaimedJob;
import org.baobabspar.fleet.RecentJobs;
import org.baobabspar.message.JobClaim;
import org.baobabspar.message.JobClaimReply;

/**
 * The claims of jobs whose requests may be old. A request that was held up on its way may
 * reach its entry after the caller has submitted the job to another one. So the entry
 * asks the others, through its agents, before it starts anything of the job, and they
 * remember the claim and ask in turn before they start the job.
 * <p>
 * Example: entry 1 reads an old request and claims its job, which nobody holds, so it
 * starts. Then the caller's next request reaches entry 2. That one knows of the claim and
 * claims the job too. Entry 1 stops its runs, since the request at entry 2 is newer, and
 * answers that it holds the job until they have ended. Entry 2 asks again and starts.
 * <p>
 * Invariants: a claim is granted only if all agents of this entry are linked and have
 * answered completely in one round, no process holds the job, and this entry has not
 * yielded the job to another claimant since the round began; at most one round is in
 * flight. Not thread-safe; used on the control thread only.
 */
final class JobClaims {

	/** Time after which the missing answers of a round are no longer awaited. */
	static final long ROUND_TIMEOUT_MILLIS = 200;

	/** Shares rounds between the jobs of many requests that arrive together. */
	private static final long MIN_ROUND_INTERVAL_MILLIS = 10;

	/** First wait before a job that was not granted is claimed again; it doubles. */
	private static final long FIRST_RETRY_MILLIS = 40;

	private static final long MAX_RETRY_MILLIS = 320;

	private final DispatchOutbox outbox;

	/** Jobs that other entries have claimed lately. */
	private final RecentJobs foreignJobs = new RecentJobs();

	private final Map<String, PendingClaim> pending = new LinkedHashMap<>();

	/** The round in flight, {@code null} if there is none. */
	private Round round;

	private long lastSequence;

	private long lastRoundMillis = Long.MIN_VALUE / 2;

	JobClaims(DispatchOutbox outbox) {
		this.outbox = outbox;
	}

	/**
	 * Returns whether another entry has claimed a job lately.
	 * @param jobId id of the job
	 * @return whether the job must be claimed here too
	 */
	boolean isClaimedElsewhere(String jobId) {
		return this.foreignJobs.contains(jobId);
	}

	/**
	 * Lets a job wait until its claim is granted.
	 * @param job the job
	 * @param reason why it has to be claimed, for the log
	 * @param nowMillis the current time
	 */
	void require(DispatchedJob job, String reason, long nowMillis) {
		if (!job.awaitsClaim) {
			job.awaitsClaim = true;
			this.pending.put(job.order.id(), new PendingClaim(job, nowMillis));
			this.outbox.log("job=" + job.order.id() + " claim=required reason=" + reason + " fresh=" + job.fresh);
		}
	}

	/**
	 * Withdraws the claim of a job that is not to be started any more.
	 * @param job the job
	 */
	void withdraw(DispatchedJob job) {
		job.awaitsClaim = false;
		if (this.pending.remove(job.order.id()) != null && this.round != null) {
			this.round.jobIds.remove(job.order.id());
		}
	}

	/**
	 * Lets a job that awaits its claim go after another claimant. What the processes have
	 * answered so far does not count, since they answered before that one may start.
	 * @param job the job
	 * @param nowMillis the current time
	 */
	void giveWay(DispatchedJob job, long nowMillis) {
		if (this.round != null) {
			this.round.jobIds.remove(job.order.id());
		}
		this.pending.get(job.order.id()).postpone(nowMillis);
	}

	/**
	 * Remembers the jobs that another entry claims.
	 * @param claim the claim
	 * @param nowMillis the current time
	 */
	void remember(JobClaim claim, long nowMillis) {
		claim.jobs().forEach((job) -> this.foreignJobs.add(job.jobId(), nowMillis, nowMillis));
	}

	/**
	 * Begins a round for the claims that are due, and ends one that takes too long.
	 * @param links the links of all agents
	 * @param allLinked whether no agent is known that has lost its link
	 * @param nowMillis the current time
	 */
	void ask(Collection<String> links, boolean allLinked, long nowMillis) {
		if (this.round != null && nowMillis - this.lastRoundMillis > ROUND_TIMEOUT_MILLIS) {
			end(false, nowMillis);
		}
		if (this.round != null || links.isEmpty() || nowMillis - this.lastRoundMillis < MIN_ROUND_INTERVAL_MILLIS) {
			return;
		}
		List<ClaimedJob> due = this.pending.values()
			.stream()
			.filter((claim) -> claim.dueMillis <= nowMillis)
			.limit(Batches.MAX_JOBS)
			.map((claim) -> new ClaimedJob(claim.job.order.id(), claim.job.fresh))
			.toList();
		if (due.isEmpty()) {
			return;
		}
		Set<String> ids = new HashSet<>();
		due.forEach((job) -> ids.add(job.jobId()));
		this.round = new Round(++this.lastSequence, ids, new HashSet<>(links), new HashSet<>(), allLinked);
		this.lastRoundMillis = nowMillis;
		JobClaim claim = new JobClaim(this.lastSequence, false, due);
		links.forEach((link) -> this.outbox.send(link, claim));
	}

	/**
	 * Handles the answer of an agent.
	 * @param link the link of the agent
	 * @param reply the answer
	 * @param nowMillis the current time
	 */
	void handleReply(String link, JobClaimReply reply, long nowMillis) {
		if (this.round == null || this.round.sequence != reply.sequence() || !this.round.awaitedLinks.remove(link)) {
			return;
		}
		this.round.heldIds.addAll(reply.heldJobIds());
		this.round.complete &= reply.complete();
		if (this.round.awaitedLinks.isEmpty()) {
			end(true, nowMillis);
		}
	}

	private void end(boolean answered, long nowMillis) {
		Round ended = this.round;
		this.round = null;
		for (String id : ended.jobIds) {
			PendingClaim claim = this.pending.get(id);
			boolean held = ended.heldIds.contains(id);
			if (answered && ended.complete && !held) {
				this.pending.remove(id);
				claim.job.awaitsClaim = false;
				log(claim, "granted", nowMillis);
			}
			else {
				log(claim, held ? "held_elsewhere" : "incomplete", nowMillis);
				claim.postpone(nowMillis);
			}
		}
	}

	private void log(PendingClaim claim, String outcome, long nowMillis) {
		this.outbox.log("job=" + claim.job.order.id() + " claim=" + outcome + " waited_ms="
				+ (nowMillis - claim.requiredMillis) + " retry_ms=" + claim.retryMillis);
	}

	/** A job whose claim is not granted. */
	private static final class PendingClaim {

		private final DispatchedJob job;

		private final long requiredMillis;

		private long dueMillis;

		private long retryMillis = FIRST_RETRY_MILLIS;

		PendingClaim(DispatchedJob job, long nowMillis) {
			this.job = job;
			this.requiredMillis = nowMillis;
			this.dueMillis = nowMillis;
		}

		void postpone(long nowMillis) {
			this.dueMillis = nowMillis + this.retryMillis;
			this.retryMillis = Math.min(MAX_RETRY_MILLIS, 2 * this.retryMillis);
		}

	}

	/** Claims that all agents were asked for with one message each. */
	private static final class Round {

		private final long sequence;

		/** The jobs of the round that still wait for its outcome. */
		private final Set<String> jobIds;

		private final Set<String> awaitedLinks;

		private final Set<String> heldIds;

		private boolean complete;

		Round(long sequence, Set<String> jobIds, Set<String> awaitedLinks, Set<String> heldIds, boolean complete) {
			this.sequence = sequence;
			this.jobIds = jobIds;
			this.awaitedLinks = awaitedLinks;
			this.heldIds = heldIds;
			this.complete = complete;
		}

	}

}
