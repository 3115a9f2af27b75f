package org.baobabspar.message;

import java.util.List;

/**
 * Answer to a PeerHeartbeat. Immutable.
 *
 * @param echoMillis the stamp of the heartbeat
 * @param peers other entries the sender knows
 */
public record PeerEcho(long echoMillis, List<EntryInfo> peers) implements Message {
}
