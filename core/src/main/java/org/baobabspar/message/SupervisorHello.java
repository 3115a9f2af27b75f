package org.baobabspar.message;

import java.util.List;
import java.util.Objects;

import org.baobabspar.fleet.EndpointStatus;
import org.baobabspar.fleet.RunKey;

/**
 * Reply of an agent to {@link EntryWelcome}. It is followed by the ends of runs that the
 * entry has not confirmed, then by a {@link LeaseRequest}. Immutable.
 *
 * @param agent name of the agent
 * @param incarnation incarnation of the agent
 * @param domain failure domain of the agent
 * @param status status of the agent's endpoint
 * @param runs the entry's runs that are present at the endpoint
 * @param linkNumber number of the connection, copied from the {@link EntryWelcome}
 */
public record SupervisorHello(String agent, long incarnation, String domain, EndpointStatus status, List<RunKey> runs,
		long linkNumber) implements Message {

	/** Validates the components. */
	public SupervisorHello {
		Objects.requireNonNull(agent);
		Objects.requireNonNull(domain);
		Objects.requireNonNull(status);
		Objects.requireNonNull(runs);
	}

}
