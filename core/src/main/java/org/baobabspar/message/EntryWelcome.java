package org.baobabspar.message;

import java.util.Objects;

/**
 * First message of an entry on a connection opened by an agent. Immutable.
 *
 * @param entry name of the entry
 * @param incarnation incarnation of the entry
 * @param linkNumber number of the connection, returned by the agent in its hello
 * @param routingVersion version of the entry's routing table, 0 for none
 */
public record EntryWelcome(String entry, long incarnation, long linkNumber, long routingVersion) implements Message {

	/** Validates the components. */
	public EntryWelcome {
		Objects.requireNonNull(entry);
	}

}
