package org.baobabspar.supervise;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The runs that the endpoint lists and the agent does not know: their owner is unknown,
 * and it may start their tasks elsewhere at any time. Example: an earlier incarnation of
 * the agent started them and died.
 * <p>
 * Invariant: a run that was listed is kept here until an inventory that was requested
 * afterwards does not list it, since answers may overtake each other. Used on the control
 * thread only.
 */
final class OrphanedRuns {

	/** When each run was last listed. */
	private final Map<PresentRun, Long> listedMillis = new HashMap<>();

	/**
	 * Updates the runs with an inventory.
	 * @param listed the unknown runs that it lists as present
	 * @param sentMillis when the inventory was requested
	 * @param nowMillis the current time
	 */
	void update(List<PresentRun> listed, long sentMillis, long nowMillis) {
		this.listedMillis.values().removeIf((lastMillis) -> sentMillis >= lastMillis);
		listed.forEach((run) -> this.listedMillis.put(new PresentRun(run.task(), run.number(), 0), nowMillis));
	}

	void clear() {
		this.listedMillis.clear();
	}

	boolean isEmpty() {
		return this.listedMillis.isEmpty();
	}

	/**
	 * Returns one of the runs, for the log.
	 * @return name of the run, empty if there are none
	 */
	Optional<String> example() {
		return this.listedMillis.keySet().stream().map((run) -> run.task() + "#" + run.number()).sorted().findFirst();
	}

}
