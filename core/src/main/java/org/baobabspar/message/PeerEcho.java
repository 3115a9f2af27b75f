package org.baobabspar.message;

import java.util.List;

/**
 * Reply to a {@link PeerHeartbeat}. Immutable.
 *
 * @param echoMillis the timestamp of the heartbeat
 * @param peers the other entries known to the sender
 */
public record PeerEcho(long echoMillis, List<EntryInfo> peers) implements Message {
}
