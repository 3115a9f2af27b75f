package org.baobabspar.message;

/**
 * Whether an agent accepts work. Immutable and thread-safe.
 */
public enum AgentState {

	/** Accepts work. */
	SERVING,

	/** Accepts no work because its endpoint does not answer health checks. */
	UNHEALTHY,

	/** Finishes its current tasks and accepts no new ones. */
	DRAINING,

	/** Unreachable or terminated; set by entries, never announced by an agent. */
	LOST;

	/**
	 * Returns whether new tasks may be placed on the agent.
	 * @return {@code true} for {@link #SERVING}
	 */
	public boolean takesWork() {
		return this == SERVING;
	}

}
