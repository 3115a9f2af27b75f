package org.baobabspar.supervise;

import org.baobabspar.message.Message;

/**
 * Sends messages to entries. Called on the control thread only.
 */
@FunctionalInterface
public interface SupervisorOutbox {

	/**
	 * Send a message, or drop it if the link is closed.
	 * @param link the link
	 * @param m the message
	 */
	void send(String link, Message m);

}
