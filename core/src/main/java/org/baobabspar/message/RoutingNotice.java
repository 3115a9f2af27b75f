package org.baobabspar.message;

import java.util.Objects;

import org.baobabspar.fleet.RoutingTable;

/**
 * Distributes the newest routing table, so that a process that cannot reach the store has
 * one. Immutable.
 *
 * @param table the routing table
 */
public record RoutingNotice(RoutingTable table) implements Message {

	/** Validates the components. */
	public RoutingNotice {
		Objects.requireNonNull(table);
	}

}
