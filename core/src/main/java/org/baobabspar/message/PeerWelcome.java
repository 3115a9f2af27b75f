package org.baobabspar.message;

import java.util.List;

/**
 * Answer to a PeerHello. Immutable.
 *
 * @param entry who answers
 * @param echoMillis stamp of the PeerHello
 * @param knowledgeAgeMillis how long ago its knowledge of agents and entries begins
 * @param peers other entries it knows
 * @param agents the agents it knows
 * @param losses entries that have ended within the window
 */
public record PeerWelcome(EntryInfo entry, long echoMillis, long knowledgeAgeMillis, List<EntryInfo> peers,
		List<AgentNotice> agents, List<EntryLoss> losses) implements Message {
}
