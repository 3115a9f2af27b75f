package org.baobabspar.message;

/**
 * Acknowledges agent notices. Immutable.
 *
 * @param sequence highest sequence received
 */
public record NoticesAck(long sequence) implements Message {
}
