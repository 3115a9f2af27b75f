package org.baobabspar.message;

import java.util.Objects;

import org.baobabspar.fleet.Resources;
import org.baobabspar.fleet.RunKey;

/**
 * Requests an agent to start a run. Immutable.
 *
 * @param sequence sequence number, incremented by the entry for each start at the agent
 * @param run the run
 * @param payload the payload passed to the task
 * @param resources resources required by the task
 * @param expectedMillis expected run time at nominal speed
 * @param agentClockMillis newest reading of the agent's clock that the entry has
 * received; the agent refuses the start if it is older than the lease
 */
public record RunStart(long sequence, RunKey run, String payload, Resources resources, long expectedMillis,
		long agentClockMillis) implements Message {

	/** Validates the components. */
	public RunStart {
		Objects.requireNonNull(run);
		Objects.requireNonNull(payload);
		Objects.requireNonNull(resources);
	}

}
