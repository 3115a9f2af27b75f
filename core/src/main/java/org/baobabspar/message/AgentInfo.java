package org.baobabspar.message;

/**
 * Identity and capacity that an agent announces. Immutable.
 * <p>
 * Invariant: the incarnation changes with every process start, so {@link #ref()}
 * identifies one incarnation of one agent.
 *
 * @param agentId id of the agent from its settings
 * @param incarnation random id drawn at each process start
 * @param failureDomain failure domain from the settings
 * @param slots maximum number of tasks that the endpoint runs concurrently
 * @param megabytes memory of the endpoint in megabytes
 */
public record AgentInfo(String agentId, String incarnation, String failureDomain, int slots, long megabytes) {

	public String ref() {
		return this.agentId + "@" + this.incarnation;
	}

}
