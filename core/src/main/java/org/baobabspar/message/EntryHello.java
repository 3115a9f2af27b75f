package org.baobabspar.message;

import java.util.List;

/**
 * First answer of an entry to an agent. Immutable.
 *
 * @param entry who answers
 * @param peers the other entries that the agent should connect to
 */
public record EntryHello(EntryInfo entry, List<EntryInfo> peers) implements Message {
}
