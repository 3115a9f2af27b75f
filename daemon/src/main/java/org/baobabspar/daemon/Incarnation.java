package org.baobabspar.daemon;

import java.security.SecureRandom;

/**
 * Generates random incarnation ids, which distinguish successive runs of a process, and
 * random seeds. Stateless and safe for any thread.
 */
final class Incarnation {

	private static final SecureRandom RANDOM = new SecureRandom();

	private Incarnation() {
	}

	static String randomId() {
		return Long.toHexString(RANDOM.nextLong());
	}

	static long randomSeed() {
		return RANDOM.nextLong();
	}

}
