package org.baobabspar.message;

/**
 * Acknowledges {@link AgentNotices}. Immutable.
 *
 * @param sequence highest sequence number received
 */
public record NoticesAck(long sequence) implements Message {
}
