package org.baobabspar.wire;

import org.baobabspar.message.Message;

/**
 * Receives the events of links. Methods are called on the control thread only.
 */
public interface LinkHandler {

	/**
	 * Handles the opening of a link.
	 * @param link the name of the link: the remote address of an outgoing link, or a
	 * generated name for an incoming one
	 */
	void linkUp(String link);

	/**
	 * Handles a message.
	 * @param link the name of the link
	 * @param message the message
	 */
	void receive(String link, Message message);

	/**
	 * Handles the end of a link, or a failed attempt to open it.
	 * @param link the name of the link
	 * @param refused whether the host refused the connection
	 */
	void linkDown(String link, boolean refused);

}
