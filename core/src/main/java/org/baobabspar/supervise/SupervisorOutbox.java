package org.baobabspar.supervise;

import org.baobabspar.message.Message;

/**
 * Sends messages to entries. Called on the control thread only.
 */
@FunctionalInterface
public interface SupervisorOutbox {

	/**
	 * Sends a message, or drops it if the link is closed.
	 * @param link the link
	 * @param message the message
	 */
	void send(String link, Message message);

}
