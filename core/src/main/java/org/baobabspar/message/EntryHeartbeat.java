package org.baobabspar.message;

import java.util.List;

/**
 * Sent by an entry to an agent when nothing else was sent for a while, and when the
 * entries known change. Immutable.
 *
 * @param echoMillis the newest stamp received from the agent
 * @param backlog tasks waiting at the entry
 * @param peers the other entries that the agent should connect to
 */
public record EntryHeartbeat(long echoMillis, int backlog, List<EntryInfo> peers) implements Message {
}
