package org.baobabspar.daemon;

import java.security.SecureRandom;

/**
 * Draws the names of lives of processes. Stateless and safe for any thread.
 */
final class Incarnation {

	private static final SecureRandom RANDOM = new SecureRandom();

	private Incarnation() {
	}

	static String draw() {
		return Long.toHexString(RANDOM.nextLong());
	}

	static long seed() {
		return RANDOM.nextLong();
	}

}
