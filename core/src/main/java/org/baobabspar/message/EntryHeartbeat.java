package org.baobabspar.message;

import java.util.List;

/**
 * Heartbeat of an entry to an agent, sent when no other message was sent for some time
 * and whenever the set of known entries changes. Immutable.
 *
 * @param echoMillis the newest timestamp received from the agent
 * @param backlog number of tasks waiting at the entry
 * @param peers the other entries that the agent should connect to
 */
public record EntryHeartbeat(long echoMillis, int backlog, List<EntryInfo> peers) implements Message {
}
