package org.baobabspar.message;

import org.baobabspar.model.Claim;

/**
 * Requests an agent to start one task. Immutable.
 *
 * @param jobId id of the job
 * @param claim the claim of the sending entry on the job
 * @param index index of the task in its job
 * @param dispatchId id of the dispatch, incremented by the entry
 * @param stampMillis newest timestamp that the entry has received from the agent; the
 * agent refuses the dispatch if it is older than the lease
 * @param backlog number of tasks waiting at the entry
 * @param party the customer that is charged
 * @param taskClass name of the task class
 * @param documentVersion version of the environment document that was applied to the job
 * @param bodyHash hash of the job's body
 * @param payload the bytes passed to the endpoint
 */
public record Dispatch(String jobId, Claim claim, int index, long dispatchId, long stampMillis, int backlog,
		String party, String taskClass, long documentVersion, long bodyHash, byte[] payload) implements Message {
}
