package org.baobabspar.message;

import java.util.List;

/**
 * Tells another entry which agents the sender knows. Immutable.
 *
 * @param sequence raised with each change
 * @param notices agents that are new or changed
 */
public record AgentNotices(long sequence, List<AgentNotice> notices) implements Message {
}
