package org.baobabspar.message;

import java.util.List;

/**
 * First message of an entry on a link from an agent. Immutable.
 *
 * @param entry name of the entry
 * @param incarnation the entry's lifetime
 * @param entries addresses of all entries that it knows
 * @param linkNumber number of the link, given back in the hello
 * @param routingVersion version of its routing table, 0 for none
 */
public record EntryWelcome(String entry, long incarnation, List<String> entries, long linkNumber,
		long routingVersion) implements Message {
}
