package org.baobabspar.message;

/**
 * What an agent announces of itself and its endpoint. Immutable.
 * <p>
 * Invariant: a process that starts again has another incarnation, so {@link #ref()} names
 * one life of one agent.
 *
 * @param agentId the name from its settings
 * @param incarnation random for each start
 * @param failureDomain the failure domain from its settings
 * @param slots tasks that the endpoint runs at once
 * @param megabytes memory of the endpoint
 */
public record AgentInfo(String agentId, String incarnation, String failureDomain, int slots, long megabytes) {

	public String ref() {
		return this.agentId + "@" + this.incarnation;
	}

}
