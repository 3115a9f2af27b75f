package org.baobabspar.dispatch;

import org.baobabspar.message.Message;

/**
 * Carries out the decisions of a {@link Dispatcher}, which itself does no I/O and can
 * therefore run on a simulated clock and network. Called on the control thread only.
 */
public interface DispatchOutbox {

	/**
	 * Sends a message to an agent. The message is dropped if the link is closed.
	 * @param link the link to the agent
	 * @param message the message
	 */
	void send(String link, Message message);

	/**
	 * Closes a link to an agent.
	 * @param link the link
	 */
	void close(String link);

	/**
	 * Writes a line to the log.
	 * @param line a decision and the values on which it was based
	 */
	void log(String line);

	/**
	 * Records the end of a job in the metrics.
	 * @param route the name of the job's route
	 * @param reply the answer to the job
	 * @param ageMillis the time since the job was submitted
	 */
	void recordJobEnd(String route, JobReply reply, long ageMillis);

}
