package org.baobabspar.document;

import java.util.List;
import java.util.Optional;

/**
 * What operators state of one environment: which parties share it, what share each has
 * agreed to, and how classes of work are treated. Immutable.
 *
 * @param environment the environment
 * @param parties the parties; their shares add up to 1 at most
 * @param classes the classes of work
 * @param limits fleet-wide limits
 */
public record EnvironmentDocument(String environment, List<Party> parties, List<TaskClass> classes, Limits limits) {

	public EnvironmentDocument {
		parties = (parties != null) ? List.copyOf(parties) : List.of();
		classes = (classes != null) ? List.copyOf(classes) : List.of();
		limits = (limits != null) ? limits : Limits.DEFAULTS;
	}

	/**
	 * Find a party.
	 * @param name the party's name
	 * @return the party, or empty if the document has none of that name
	 */
	public Optional<Party> party(String name) {
		return this.parties.stream().filter((p) -> p.name().equals(name)).findFirst();
	}

	/**
	 * Find a class of work.
	 * @param name the name of the class
	 * @return the class, or empty if the document has none of that name
	 */
	public Optional<TaskClass> taskClass(String name) {
		return this.classes.stream().filter((c) -> c.name().equals(name)).findFirst();
	}

}
