package org.baobabspar.message;

import org.baobabspar.fleet.RoutingTable;

/**
 * Passes the newest routing table on, so that a process that cannot reach the store has
 * one. Immutable.
 *
 * @param table the table
 */
public record RoutingNotice(RoutingTable table) implements Message {
}
