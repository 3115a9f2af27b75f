package org.baobabspar.message;

/**
 * First message of an entry on a link from an agent. Immutable.
 *
 * @param entry name of the entry
 * @param incarnation the entry's lifetime
 * @param linkNumber number of the link, given back in the hello
 * @param routingVersion version of its routing table, 0 for none
 */
public record EntryWelcome(String entry, long incarnation, long linkNumber, long routingVersion) implements Message {
}
