package org.baobabspar.message;

import java.util.List;

/**
 * Sent by an agent to an entry: other entries that the agent serves. Immutable.
 *
 * @param entries the entries
 */
public record EntryNotice(List<EntryInfo> entries) implements Message {
}
