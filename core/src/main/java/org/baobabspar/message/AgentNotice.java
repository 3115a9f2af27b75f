package org.baobabspar.message;

/**
 * What one entry tells another of an agent. Immutable.
 *
 * @param agentId the agent's name
 * @param incarnation the agent's incarnation
 * @param state the state as the sender sees it
 * @param idleMillis how long ago the sender could last have given it work
 */
public record AgentNotice(String agentId, String incarnation, AgentState state, long idleMillis) {

	public String ref() {
		return this.agentId + "@" + this.incarnation;
	}

}
