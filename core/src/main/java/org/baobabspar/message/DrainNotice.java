package org.baobabspar.message;

import java.util.Objects;

import org.baobabspar.fleet.DomainDrains;

/**
 * Distributes the drains of failure domains. Entries and agents pass a newer version on
 * to each other, so that it also reaches those that cannot read the operator's log.
 * Immutable.
 *
 * @param drains the newest drains that the sender knows
 */
public record DrainNotice(DomainDrains drains) implements Message {

	/** Validates the components. */
	public DrainNotice {
		Objects.requireNonNull(drains);
	}

}
