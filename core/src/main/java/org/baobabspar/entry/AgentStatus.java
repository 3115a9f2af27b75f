package org.baobabspar.entry;

/**
 * What an entry tells operators of an agent. Immutable.
 *
 * @param agentId the agent
 * @param failureDomain its failure domain
 * @param state its state as seen here
 * @param usable whether it is given work
 * @param slots slots of its endpoint
 * @param limit tasks that this entry may have there
 * @param inFlight tasks that this entry has there
 * @param failuresInRow failed tasks since the last success
 * @param serviceMillis expected time of an average task
 */
public record AgentStatus(String agentId, String failureDomain, String state, boolean usable, int slots, int limit,
		int inFlight, int failuresInRow, long serviceMillis) {
}
