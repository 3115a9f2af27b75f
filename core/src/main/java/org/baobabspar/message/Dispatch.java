package org.baobabspar.message;

import org.baobabspar.model.Claim;

/**
 * Asks an agent to start one task. Immutable.
 *
 * @param jobId the job
 * @param claim the claim of the entry
 * @param index the task
 * @param dispatchId raised by the entry for each dispatch
 * @param stampMillis newest stamp received from the agent, which limits how late the
 * dispatch may arrive
 * @param backlog tasks waiting at the entry
 * @param party who is charged
 * @param taskClass the class of work
 * @param documentVersion the document version that judged the job
 * @param bodyHash hash of the job's body
 * @param payload the bytes for the endpoint
 */
public record Dispatch(String jobId, Claim claim, int index, long dispatchId, long stampMillis, int backlog,
		String party, String taskClass, long documentVersion, long bodyHash, byte[] payload) implements Message {
}
