package org.baobabspar.supervise;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Questions about jobs that an agent passes on from one of its entries to the others, and
 * their answers until all of them are there.
 * <p>
 * Invariants: a question is answered once, when each entry that was asked has answered or
 * lost its link; a question of an entry that has lost its link is dropped. Not
 * thread-safe; used on the control thread only.
 */
final class RelayRounds {

	private final Map<Long, Round> rounds = new HashMap<>();

	private final Answerer answerer;

	private long lastSequence;

	RelayRounds(Answerer answerer) {
		this.answerer = answerer;
	}

	/**
	 * Begins a round.
	 * @param askingLink link of the entry that waits for the answer
	 * @param askingSequence number of its question
	 * @param jobIds the jobs that are part of the answer already
	 * @param complete whether the answers of the entries that are asked will be all that
	 * matter
	 * @param askedLinks links of the entries that are asked
	 * @return number of the question to these entries
	 */
	long begin(String askingLink, long askingSequence, Collection<String> jobIds, boolean complete,
			Collection<String> askedLinks) {
		this.rounds.put(++this.lastSequence,
				new Round(askingLink, askingSequence, new HashSet<>(jobIds), new HashSet<>(askedLinks), complete));
		return this.lastSequence;
	}

	/**
	 * Handles the answer of an entry.
	 * @param link link of the entry
	 * @param sequence number of the question
	 * @param complete whether it is the whole answer
	 * @param jobIds the jobs of its answer
	 */
	void handleAnswer(String link, long sequence, boolean complete, List<String> jobIds) {
		Round round = this.rounds.get(sequence);
		if (round != null && round.awaitedLinks.remove(link)) {
			round.jobIds.addAll(jobIds);
			round.complete &= complete;
			answerEnded();
		}
	}

	void unlinked(String link) {
		this.rounds.values().removeIf((round) -> round.askingLink.equals(link));
		for (Round round : this.rounds.values()) {
			if (round.awaitedLinks.remove(link)) {
				round.complete = false;
			}
		}
		answerEnded();
	}

	/** Answers the questions for which no answer is awaited any more. */
	void answerEnded() {
		Iterator<Round> all = this.rounds.values().iterator();
		while (all.hasNext()) {
			Round round = all.next();
			if (round.awaitedLinks.isEmpty()) {
				all.remove();
				this.answerer.answer(round.askingLink, round.askingSequence, round.complete, List.copyOf(round.jobIds));
			}
		}
	}

	/** Answers the entry that asked. */
	@FunctionalInterface
	interface Answerer {

		/**
		 * Answers a question.
		 * @param link link of the entry that asked
		 * @param sequence number of its question
		 * @param complete whether no entry that was asked has lost its link instead of
		 * answering
		 * @param jobIds the jobs of all answers
		 */
		void answer(String link, long sequence, boolean complete, List<String> jobIds);

	}

	/** A question that not all entries have answered yet. */
	private static final class Round {

		private final String askingLink;

		private final long askingSequence;

		private final Set<String> jobIds;

		private final Set<String> awaitedLinks;

		private boolean complete;

		Round(String askingLink, long askingSequence, Set<String> jobIds, Set<String> awaitedLinks, boolean complete) {
			this.askingLink = askingLink;
			this.askingSequence = askingSequence;
			this.jobIds = jobIds;
			this.awaitedLinks = awaitedLinks;
			this.complete = complete;
		}

	}

}
