package org.baobabspar.dispatch;

import org.baobabspar.message.Message;

/**
 * What the dispatcher does to the world. Called on the control thread only.
 */
public interface DispatchOutbox {

	/**
	 * Send a message to an agent, or drop it if the link is closed.
	 * @param link the link
	 * @param m the message
	 */
	void send(String link, Message m);

	/**
	 * Close a link.
	 * @param link the link
	 */
	void close(String link);

	/**
	 * Write a line to the log.
	 * @param line the decision and what it was based on
	 */
	void log(String line);

	/**
	 * Count the end of a job.
	 * @param route its route
	 * @param reply its answer
	 * @param millis from its submission
	 */
	void recordJobEnd(String route, JobReply reply, long millis);

}
