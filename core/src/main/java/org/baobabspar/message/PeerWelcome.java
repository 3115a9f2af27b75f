package org.baobabspar.message;

import java.util.List;

/**
 * Reply to a {@link PeerHello}. Immutable.
 *
 * @param entry the replying entry
 * @param echoMillis the timestamp of the {@link PeerHello}
 * @param knowledgeAgeMillis how long the replying entry has been tracking agents and
 * entries
 * @param peers the other entries known to the replying entry
 * @param agents the agents known to the replying entry
 * @param losses entries that have terminated within the resubmission window
 */
public record PeerWelcome(EntryInfo entry, long echoMillis, long knowledgeAgeMillis, List<EntryInfo> peers,
		List<AgentNotice> agents, List<EntryLoss> losses) implements Message {
}
