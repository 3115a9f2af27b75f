package org.baobabspar.dispatch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The answers to recent jobs, for callers that submit a job again since the answer was
 * lost on its way.
 * <p>
 * Invariant: the answers are in the order of their time, so an eviction looks at those
 * that it removes and one more. Not thread-safe; used on the control thread only.
 */
final class RetainedAnswers {

	/** Time for which an answer is retained. */
	static final long RETENTION_MILLIS = 30_000;

	static final int MAX_ANSWERS = 20_000;

	private final Map<String, Answer> answers = new LinkedHashMap<>();

	void add(String jobId, JobReply reply, long nowMillis) {
		this.answers.remove(jobId);
		this.answers.put(jobId, new Answer(reply, nowMillis));
	}

	Optional<Answer> find(String jobId) {
		return Optional.ofNullable(this.answers.get(jobId));
	}

	/**
	 * Removes the answers that are too old, and the oldest ones if there are too many.
	 * @param nowMillis the current time
	 */
	void evict(long nowMillis) {
		Iterator<Answer> oldest = this.answers.values().iterator();
		while (oldest.hasNext()) {
			boolean expired = nowMillis - oldest.next().answeredMillis() > RETENTION_MILLIS;
			if (!expired && this.answers.size() <= MAX_ANSWERS) {
				return;
			}
			oldest.remove();
		}
	}

	/**
	 * An answer and its time.
	 *
	 * @param reply the answer
	 * @param answeredMillis the time of the answer
	 */
	record Answer(JobReply reply, long answeredMillis) {
	}

}
