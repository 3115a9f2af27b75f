package org.baobabspar.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Splits lists of jobs into messages. A link on which no message has arrived yet takes
 * small frames only, and a process can't tell when its first message has arrived.
 * Stateless and safe for any thread.
 */
public final class Batches {

	/** Jobs in a message, each of which takes about 21 bytes. */
	public static final int MAX_JOBS = 1_000;

	private Batches() {
	}

	/**
	 * Splits a list.
	 * @param list the list
	 * @param <T> the type of its elements
	 * @return parts of at most {@value #MAX_JOBS} elements, in their order, none for an
	 * empty list
	 */
	public static <T> List<List<T>> of(List<T> list) {
		List<List<T>> batches = new ArrayList<>();
		for (int from = 0; from < list.size(); from += MAX_JOBS) {
			batches.add(list.subList(from, Math.min(list.size(), from + MAX_JOBS)));
		}
		return batches;
	}

}
