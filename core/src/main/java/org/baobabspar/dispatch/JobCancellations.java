package org.baobabspar.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.baobabspar.fleet.Batches;
import org.baobabspar.fleet.CancelledJob;
import org.baobabspar.fleet.CancelledJobs;
import org.baobabspar.message.CancelNotice;
import org.baobabspar.message.CancelReply;
import org.baobabspar.message.Message;

/**
 * The cancelled jobs as known to an entry, and the search for those that another entry
 * holds. The entry asks its agents, which ask their other entries. The cancellations of
 * one tick share their messages, since callers cancel many jobs at a time.
 * <p>
 * Invariants: a job is answered as cancelled only after an agent has confirmed, so that
 * the cancellation outlives this entry, or if this entry held the job and no agent
 * confirms; it is answered as unknown only after all agents that were asked have
 * confirmed; each caller gets one answer, after {@value #CONFIRM_TIMEOUT_MILLIS} ms at
 * the latest. Not thread-safe; used on the control thread only.
 */
final class JobCancellations {

	/**
	 * Time after which a caller is told that its request was not confirmed. Longer than
	 * an agent takes to give up a link that has gone silent.
	 */
	static final long CONFIRM_TIMEOUT_MILLIS = 1_500;

	private final CancelledJobs jobs = new CancelledJobs();

	private final BiConsumer<String, Message> sender;

	private final JobCloser closer;

	/** Jobs that this entry knew and agents have not been asked for yet. */
	private Set<String> unaskedKnown = new HashSet<>();

	/** Callers of the jobs that agents have not been asked for yet. */
	private Map<String, List<Consumer<CancelOutcome>>> unasked = new LinkedHashMap<>();

	/** Jobs that agents have not been told of yet, with the agent that told of them. */
	private final Map<CancelledJob, String> untold = new LinkedHashMap<>();

	private final Map<Long, Round> rounds = new LinkedHashMap<>();

	private long lastSequence;

	JobCancellations(BiConsumer<String, Message> sender, JobCloser closer) {
		this.sender = sender;
		this.closer = closer;
	}

	boolean isCancelled(String jobId) {
		return this.jobs.contains(jobId);
	}

	/**
	 * Cancels a job at the request of a caller.
	 * @param jobId id of the job
	 * @param caller receives the answer, exactly once
	 * @param nowMillis the current time
	 */
	void cancel(String jobId, Consumer<CancelOutcome> caller, long nowMillis) {
		this.jobs.add(new CancelledJob(jobId, 0), nowMillis);
		this.unasked.computeIfAbsent(jobId, (id) -> new ArrayList<>()).add(caller);
		if (this.closer.close(jobId, nowMillis)) {
			this.unaskedKnown.add(jobId);
		}
	}

	/**
	 * Handles the notice of an agent, and confirms it.
	 * @param link the link of the agent
	 * @param notice the notice
	 * @param nowMillis the current time
	 */
	void handleNotice(String link, CancelNotice notice, long nowMillis) {
		List<String> known = new ArrayList<>();
		for (CancelledJob job : notice.jobs()) {
			if (this.jobs.add(job, nowMillis)) {
				this.untold.put(job, link);
			}
			if (this.closer.close(job.jobId(), nowMillis)) {
				known.add(job.jobId());
			}
		}
		if (notice.sequence() > 0) {
			this.sender.accept(link, new CancelReply(notice.sequence(), known));
		}
	}

	void handleReply(String link, CancelReply reply) {
		Round round = this.rounds.get(reply.sequence());
		if (round != null && round.awaitedLinks.remove(link)) {
			round.knownJobIds.addAll(reply.knownJobIds());
			round.answerKnown();
			if (round.awaitedLinks.isEmpty()) {
				round.answerRest(CancelOutcome.UNKNOWN_JOB);
			}
			if (round.callers.isEmpty()) {
				this.rounds.remove(reply.sequence());
			}
		}
	}

	/**
	 * Tells an agent that has linked of all cancelled jobs.
	 * @param link the link of the agent
	 * @param nowMillis the current time
	 */
	void linked(String link, long nowMillis) {
		Batches.of(this.jobs.all(nowMillis)).forEach((jobs) -> this.sender.accept(link, new CancelNotice(0, jobs)));
	}

	/**
	 * Asks and tells the agents what has come up since the last tick, and answers the
	 * callers that have waited for too long.
	 * @param links the links of all agents
	 * @param nowMillis the current time
	 */
	void tick(Collection<String> links, long nowMillis) {
		tell(links);
		ask(links, nowMillis);
		List<Long> expired = this.rounds.entrySet()
			.stream()
			.filter((e) -> nowMillis - e.getValue().askedMillis > CONFIRM_TIMEOUT_MILLIS)
			.map(Map.Entry::getKey)
			.toList();
		expired.forEach((sequence) -> this.rounds.remove(sequence).giveUp());
	}

	private void tell(Collection<String> links) {
		if (this.untold.isEmpty()) {
			return;
		}
		for (String link : links) {
			List<CancelledJob> news = this.untold.entrySet()
				.stream()
				.filter((e) -> !e.getValue().equals(link))
				.map(Map.Entry::getKey)
				.toList();
			Batches.of(news).forEach((jobs) -> this.sender.accept(link, new CancelNotice(0, jobs)));
		}
		this.untold.clear();
	}

	private void ask(Collection<String> links, long nowMillis) {
		Batches.of(List.copyOf(this.unasked.keySet())).forEach((ids) -> ask(ids, links, nowMillis));
		this.unasked = new LinkedHashMap<>();
		this.unaskedKnown = new HashSet<>();
	}

	private void ask(List<String> ids, Collection<String> links, long nowMillis) {
		Map<String, List<Consumer<CancelOutcome>>> callers = new LinkedHashMap<>();
		ids.forEach((id) -> callers.put(id, this.unasked.get(id)));
		Set<String> known = new HashSet<>(this.unaskedKnown);
		known.retainAll(ids);
		Round round = new Round(nowMillis, callers, known, new HashSet<>(links));
		if (links.isEmpty()) {
			round.giveUp();
			return;
		}
		this.rounds.put(++this.lastSequence, round);
		CancelNotice notice = new CancelNotice(this.lastSequence,
				round.callers.keySet().stream().map((id) -> new CancelledJob(id, 0)).toList());
		links.forEach((link) -> this.sender.accept(link, notice));
	}

	/**
	 * Tells whether nothing is due.
	 * @return whether no caller waits and no agent has to be told
	 */
	boolean idle() {
		return this.unasked.isEmpty() && this.untold.isEmpty() && this.rounds.isEmpty();
	}

	/** Closes the jobs of an entry. */
	@FunctionalInterface
	interface JobCloser {

		/**
		 * Closes a job because it was cancelled.
		 * @param jobId id of the job
		 * @param nowMillis the current time
		 * @return whether the entry knew the job, open or not
		 */
		boolean close(String jobId, long nowMillis);

	}

	/**
	 * Jobs that the agents were asked for with one notice.
	 *
	 * @param askedMillis when they were asked
	 * @param callers the callers that wait, by job
	 * @param knownJobIds the jobs that are known to this entry or to a process that was
	 * asked
	 * @param awaitedLinks links of the agents that have not confirmed
	 */
	private record Round(long askedMillis, Map<String, List<Consumer<CancelOutcome>>> callers, Set<String> knownJobIds,
			Set<String> awaitedLinks) {

		void answerKnown() {
			for (String id : this.knownJobIds) {
				List<Consumer<CancelOutcome>> waiting = this.callers.remove(id);
				if (waiting != null) {
					waiting.forEach((caller) -> caller.accept(CancelOutcome.CANCELLED));
				}
			}
		}

		void answerRest(CancelOutcome outcome) {
			this.callers.values().forEach((waiting) -> waiting.forEach((caller) -> caller.accept(outcome)));
			this.callers.clear();
		}

		void giveUp() {
			answerKnown();
			answerRest(CancelOutcome.UNCONFIRMED);
		}

	}

}
