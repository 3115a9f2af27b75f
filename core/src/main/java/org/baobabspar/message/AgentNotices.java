package org.baobabspar.message;

import java.util.List;

/**
 * Reports the agents known to the sender to another entry. Immutable.
 *
 * @param sequence sequence number, incremented with each change
 * @param notices the agents that are new or have changed
 */
public record AgentNotices(long sequence, List<AgentNotice> notices) implements Message {
}
