package org.baobabspar.message;

import java.util.List;

/**
 * Sent by an agent to an entry: the other entries that the agent is connected to.
 * Immutable.
 *
 * @param entries the entries
 */
public record EntryNotice(List<EntryInfo> entries) implements Message {
}
