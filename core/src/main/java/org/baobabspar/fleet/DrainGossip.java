package org.baobabspar.fleet;

import java.util.Collection;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * What a process knows of the drains of failure domains, and the exchange with the
 * processes that are linked to it. Entries read the drains from the operator's log; those
 * that are cut off from it, and all agents, learn of them on their links.
 * <p>
 * Invariants: the version never decreases; a newer version is passed on once, to all
 * links but the one on which it came; an older one is answered with the newer. Without
 * drains nothing is sent. Not thread-safe; used on the control thread only.
 */
public final class DrainGossip {

	private final BiConsumer<String, DomainDrains> sender;

	private DomainDrains drains = DomainDrains.NONE;

	/**
	 * Creates the state of a process that has heard of no drain.
	 * @param sender sends the drains on a link
	 */
	public DrainGossip(BiConsumer<String, DomainDrains> sender) {
		this.sender = sender;
	}

	public DomainDrains drains() {
		return this.drains;
	}

	/**
	 * Tells the process at a new link of the drains, if there are any.
	 * @param link the link
	 */
	public void linked(String link) {
		if (!this.drains.domains().isEmpty()) {
			this.sender.accept(link, this.drains);
		}
	}

	/**
	 * Handles drains that were read or heard of.
	 * @param candidate the drains
	 * @param source the link on which they came, or where they were read
	 * @param links all links
	 * @return the drains before, empty if the candidate is not newer
	 */
	public Optional<DomainDrains> adopt(DomainDrains candidate, String source, Collection<String> links) {
		DomainDrains before = this.drains;
		if (!candidate.isNewerThan(before)) {
			if (before.isNewerThan(candidate) && links.contains(source)) {
				this.sender.accept(source, before);
			}
			return Optional.empty();
		}
		this.drains = candidate;
		if (!candidate.domains().equals(before.domains())) {
			links.stream()
				.filter((link) -> !link.equals(source))
				.forEach((link) -> this.sender.accept(link, candidate));
		}
		return Optional.of(before);
	}

}
