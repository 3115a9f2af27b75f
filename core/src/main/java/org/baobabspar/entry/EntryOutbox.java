package org.baobabspar.entry;

import org.baobabspar.message.Message;
import org.baobabspar.model.JobAnswer;

/**
 * Receives the effects of an entry's decisions. Called on the control thread only;
 * implementations must not block and must not call back into the entry.
 */
public interface EntryOutbox {

	/**
	 * Sends a message.
	 * @param link the link to an agent or a peer
	 * @param message the message
	 */
	void send(String link, Message message);

	/**
	 * Keeps a link to another entry open and reopens it whenever it fails.
	 * @param address the address as {@code host:port}, which is also the name of the link
	 */
	void dial(String address);

	/**
	 * Closes a link and stops reopening it.
	 * @param address the address
	 */
	void hangUp(String address);

	/**
	 * Answers a caller.
	 * @param requestId the identifier of the request
	 * @param answer the answer
	 */
	void answer(long requestId, JobAnswer answer);

	/**
	 * Records that a job has ended.
	 * @param summary the summary of the job
	 */
	void jobEnded(JobSummary summary);

}
