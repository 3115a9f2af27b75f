package org.baobabspar.misc;

import net.openhft.hashing.LongHashFunction;

/**
 * 64-bit XXH3 hashes, which are the same in every process. Stateless and thread-safe.
 */
public final class Hashes {

	private static final LongHashFunction XX3 = LongHashFunction.xx3();

	private Hashes() {
	}

	/**
	 * Hashes a string.
	 * @param text the string
	 * @return the hash
	 */
	public static long of(String text) {
		return XX3.hashChars(text);
	}

	/**
	 * Hashes a byte array.
	 * @param bytes the bytes
	 * @return the hash
	 */
	public static long of(byte[] bytes) {
		return XX3.hashBytes(bytes);
	}

	/**
	 * Combines two hashes; the result depends on their order.
	 * @param first the first hash
	 * @param second the second hash
	 * @return the combined hash
	 */
	public static long mix(long first, long second) {
		return XX3.hashLongs(new long[] { first, second });
	}

}
