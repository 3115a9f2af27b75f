package org.baobabspar.message;

import java.util.Objects;

import org.baobabspar.fleet.RunKey;

/**
 * Requests an agent to stop a run. Immutable.
 *
 * @param run the run
 */
public record RunStop(RunKey run) implements Message {

	/** Validates the components. */
	public RunStop {
		Objects.requireNonNull(run);
	}

}
