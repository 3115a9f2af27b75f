package org.baobabspar.agent;

import org.baobabspar.message.Message;

/**
 * Carries out the effects of an agent's decisions. Methods are called on the control
 * thread only; implementations must not block and must not call back into the agent.
 */
public interface AgentOutbox {

	/**
	 * Sends a message.
	 * @param link the name of the link to an entry
	 * @param message the message
	 */
	void send(String link, Message message);

	/**
	 * Starts a task at the endpoint.
	 * @param task the task
	 * @param payload the request body for the endpoint
	 */
	void start(LedgerTask task, byte[] payload);

}
