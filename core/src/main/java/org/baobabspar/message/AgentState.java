package org.baobabspar.message;

/**
 * Whether an agent takes work. Immutable.
 */
public enum AgentState {

	/** Takes work. */
	SERVING,

	/** Its endpoint does not answer health checks; takes no work. */
	UNHEALTHY,

	/** Finishes what it has and takes nothing new. */
	DRAINING,

	/** Unreachable, or dead; set by entries, never announced. */
	LOST;

	/**
	 * Tell whether new work may be placed.
	 * @return {@code true} for a serving agent
	 */
	public boolean takesWork() {
		return this == SERVING;
	}

}
