package org.baobabspar.fleet;

import java.util.List;
import java.util.TreeSet;

/**
 * The failure domains that the operator drains: nothing is started there until the drain
 * is withdrawn, while runs that are present may complete. Immutable and thread-safe.
 *
 * @param version position in the operator's log up to which the drains are known; the
 * higher version is the newer one, whichever process read it
 * @param domains names of the drained failure domains, sorted
 */
public record DomainDrains(long version, List<String> domains) {

	/** Bounds the size of a message. */
	public static final int MAX_DOMAINS = 256;

	/** What a process knows that has heard of no drain. */
	public static final DomainDrains NONE = new DomainDrains(0, List.of());

	/** Validates the components. */
	public DomainDrains {
		if (version < 0 || domains.size() > MAX_DOMAINS) {
			throw new IllegalArgumentException("version " + version + " with " + domains.size() + " domains");
		}
		domains = List.copyOf(new TreeSet<>(domains));
	}

	/**
	 * Tells whether a failure domain is drained.
	 * @param domain name of the failure domain
	 * @return whether nothing may start there
	 */
	public boolean includes(String domain) {
		return this.domains.contains(domain);
	}

	/**
	 * Compares two versions.
	 * @param other the other one
	 * @return whether this one is newer
	 */
	public boolean isNewerThan(DomainDrains other) {
		return this.version > other.version;
	}

}
