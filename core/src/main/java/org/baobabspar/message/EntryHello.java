package org.baobabspar.message;

import java.util.List;

/**
 * First response of an entry to an agent. Immutable.
 *
 * @param entry the responding entry
 * @param peers the other entries that the agent should connect to
 */
public record EntryHello(EntryInfo entry, List<EntryInfo> peers) implements Message {
}
