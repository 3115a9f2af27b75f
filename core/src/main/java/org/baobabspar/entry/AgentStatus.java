package org.baobabspar.entry;

/**
 * The status of an agent as reported to operators. Immutable.
 *
 * @param agentId the agent
 * @param failureDomain its failure domain
 * @param state its state as seen by this entry
 * @param usable whether it receives tasks
 * @param slots the number of slots of its endpoint
 * @param limit the maximum number of tasks of this entry on the agent
 * @param inFlight the number of outstanding tasks of this entry on the agent
 * @param failuresInRow the number of failed tasks since the last success
 * @param serviceMillis the expected service time of an average task
 */
public record AgentStatus(String agentId, String failureDomain, String state, boolean usable, int slots, int limit,
		int inFlight, int failuresInRow, long serviceMillis) {
}
