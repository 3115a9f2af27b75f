package org.baobabspar.misc;

import net.openhft.hashing.LongHashFunction;

/**
 * Stable 64-bit hashes. Stateless and safe for any thread.
 */
public final class Hashes {

	private static final LongHashFunction XX3 = LongHashFunction.xx3();

	private Hashes() {
	}

	/**
	 * Hash a string.
	 * @param s the string
	 * @return the hash
	 */
	public static long of(String s) {
		return XX3.hashChars(s);
	}

	/**
	 * Hash bytes.
	 * @param b the bytes
	 * @return the hash
	 */
	public static long of(byte[] b) {
		return XX3.hashBytes(b);
	}

	/**
	 * Combine two hashes so that their order counts.
	 * @param a the first hash
	 * @param b the second hash
	 * @return the combined hash
	 */
	public static long mix(long a, long b) {
		return XX3.hashLongs(new long[] { a, b });
	}

}
