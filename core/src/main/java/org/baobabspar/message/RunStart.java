package org.baobabspar.message;

import org.baobabspar.fleet.Resources;
import org.baobabspar.fleet.RunKey;

/**
 * Asks an agent to start a run. Immutable.
 *
 * @param sequence raised by the entry for each start at this agent
 * @param run the run
 * @param payload given to the task
 * @param resources what it needs
 * @param expectedMillis expected run time at speed 1
 * @param agentClockMillis newest agent clock that the entry has seen, which limits how
 * late the start may arrive
 */
public record RunStart(long sequence, RunKey run, String payload, Resources resources, long expectedMillis,
		long agentClockMillis) implements Message {
}
