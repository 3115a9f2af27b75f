package org.baobabspar.agent;

import org.baobabspar.message.Message;

/**
 * Effects of an agent's decisions. Called on the control thread only; implementations
 * must not block and must not call back.
 */
public interface AgentOutbox {

	/**
	 * Send a message.
	 * @param link the link to an entry
	 * @param m the message
	 */
	void send(String link, Message m);

	/**
	 * Hand a task to the endpoint.
	 * @param task the task
	 * @param payload the bytes for the endpoint
	 */
	void start(LedgerTask task, byte[] payload);

}
