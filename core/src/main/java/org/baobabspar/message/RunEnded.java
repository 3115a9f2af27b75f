package org.baobabspar.message;

import java.util.Objects;

import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;

/**
 * Reports the end of a run to the entry that requested it. Resent on each new connection
 * until a {@link LeaseGrant} confirms it. Immutable.
 *
 * @param sequence sequence number, incremented by the agent for each ended run of the
 * entry
 * @param run the run
 * @param end how the run ended
 * @param ranMillis run time as observed by the agent
 */
public record RunEnded(long sequence, RunKey run, RunEnd end, long ranMillis) implements Message {

	/** Validates the components. */
	public RunEnded {
		Objects.requireNonNull(run);
		Objects.requireNonNull(end);
	}

}
