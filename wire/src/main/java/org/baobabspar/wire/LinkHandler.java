package org.baobabspar.wire;

import org.baobabspar.message.Message;

/**
 * Takes the events of links. Called on the control thread only.
 */
public interface LinkHandler {

	/**
	 * A link is open.
	 * @param link its name: the dialled address, or a name given to an incoming link
	 */
	void linkUp(String link);

	/**
	 * A message came.
	 * @param link the link
	 * @param m the message
	 */
	void receive(String link, Message m);

	/**
	 * A link is closed or could not be opened.
	 * @param link the link
	 * @param refused whether the host refused the connection
	 */
	void linkDown(String link, boolean refused);

}
