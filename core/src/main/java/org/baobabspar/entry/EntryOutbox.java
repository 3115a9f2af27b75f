package org.baobabspar.entry;

import org.baobabspar.message.Message;
import org.baobabspar.model.JobAnswer;

/**
 * Effects of an entry's decisions. Called on the control thread only; implementations
 * must not block and must not call back.
 */
public interface EntryOutbox {

	/**
	 * Send a message.
	 * @param link the link to an agent or a peer
	 * @param m the message
	 */
	void send(String link, Message m);

	/**
	 * Keep a link to another entry open, opening it again whenever it fails.
	 * @param address the address as {@code host:port}; also the name of the link
	 */
	void dial(String address);

	/**
	 * Stop opening a link.
	 * @param address the address
	 */
	void hangUp(String address);

	/**
	 * Answer a caller.
	 * @param requestId the number of the caller's request
	 * @param a the answer
	 */
	void answer(long requestId, JobAnswer a);

	/**
	 * Note that a job has ended.
	 * @param e what is known of it
	 */
	void jobEnded(JobSummary e);

}
