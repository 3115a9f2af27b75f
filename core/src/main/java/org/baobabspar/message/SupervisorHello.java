package org.baobabspar.message;

import java.util.List;

import org.baobabspar.fleet.EndpointStatus;
import org.baobabspar.fleet.RunKey;

/**
 * Answer of an agent to {@link EntryWelcome}. The ends that the entry has not confirmed
 * follow on the link, then a {@link LeaseRequest}. Immutable.
 *
 * @param agent name of the agent
 * @param incarnation the agent's lifetime
 * @param domain its failure domain
 * @param status its endpoint
 * @param runs runs of this entry that are present at the endpoint
 * @param linkNumber from the welcome that this answers
 */
public record SupervisorHello(String agent, long incarnation, String domain, EndpointStatus status, List<RunKey> runs,
		long linkNumber) implements Message {
}
