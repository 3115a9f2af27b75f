package org.baobabspar.document;

import java.util.List;
import java.util.Optional;

/**
 * Configuration of one environment, written by operators: the customers that share the
 * fleet, the share agreed with each, and the task classes. Immutable.
 *
 * @param environment name of the environment
 * @param parties the customers; the sum of their shares is at most 1
 * @param classes the task classes
 * @param limits fleet-wide limits
 */
public record EnvironmentDocument(String environment, List<Party> parties, List<TaskClass> classes, Limits limits) {

	public EnvironmentDocument {
		parties = (parties != null) ? List.copyOf(parties) : List.of();
		classes = (classes != null) ? List.copyOf(classes) : List.of();
		limits = (limits != null) ? limits : Limits.DEFAULTS;
	}

	/**
	 * Finds a customer.
	 * @param name name of the customer
	 * @return the customer, or empty if the document does not list it
	 */
	public Optional<Party> party(String name) {
		return this.parties.stream().filter((p) -> p.name().equals(name)).findFirst();
	}

	/**
	 * Finds a task class.
	 * @param name name of the class
	 * @return the class, or empty if the document does not list it
	 */
	public Optional<TaskClass> taskClass(String name) {
		return this.classes.stream().filter((c) -> c.name().equals(name)).findFirst();
	}

}
