package org.baobabspar.message;

/**
 * State of an agent as one entry reports it to another. Immutable.
 *
 * @param agentId id of the agent
 * @param incarnation incarnation of the agent
 * @param state the state as observed by the sender
 * @param idleMillis time since the sender could last have dispatched a task to the agent
 */
public record AgentNotice(String agentId, String incarnation, AgentState state, long idleMillis) {

	public String ref() {
		return this.agentId + "@" + this.incarnation;
	}

}
