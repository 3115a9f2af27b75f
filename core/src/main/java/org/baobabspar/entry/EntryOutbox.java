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
	 * @param message the message
	 */
	void send(String link, Message message);

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
	 * @param answer the answer
	 */
	void answer(long requestId, JobAnswer answer);

	/**
	 * Note that a job has ended.
	 * @param summary what is known of it
	 */
	void jobEnded(JobSummary summary);

}
