package org.baobabspar.guard;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Limits on what the clients of one process may hold. Immutable and thread-safe.
 *
 * @param maxConnections largest number of open connections of clients
 * @param maxInputBytes largest amount of memory for requests that are not answered
 * @param maxUnprovenLinks largest number of links on which no message has arrived
 */
public record GuardLimits(int maxConnections, long maxInputBytes, int maxUnprovenLinks) {

	/** Descriptors that a process needs for files and for connections of its own. */
	private static final int RESERVED_DESCRIPTORS = 200;

	/** Share of the other descriptors that clients may take; agents take the rest. */
	private static final double CONNECTION_SHARE = 0.5;

	/** Share of the other descriptors for links on which no message has arrived. */
	private static final double UNPROVEN_LINK_SHARE = 0.1;

	/** Share of the heap for requests that are not answered. */
	private static final double INPUT_SHARE = 0.25;

	private static final int DEFAULT_DESCRIPTORS = 4_096;

	private static final Path PROCESS_LIMITS = Path.of("/proc/self/limits");

	private static final String DESCRIPTOR_LIMIT = "Max open files";

	/** Validates the components. */
	public GuardLimits {
		if (maxConnections < 1 || maxInputBytes < 1 || maxUnprovenLinks < 1) {
			throw new IllegalArgumentException(maxConnections + " " + maxInputBytes + " " + maxUnprovenLinks);
		}
	}

	/**
	 * Returns the limits of a process with a number of descriptors and its heap.
	 * @param maxDescriptors how many descriptors the process may open
	 * @return the limits
	 */
	public static GuardLimits of(int maxDescriptors) {
		int available = Math.max(1, maxDescriptors - RESERVED_DESCRIPTORS);
		return new GuardLimits((int) Math.ceil(CONNECTION_SHARE * available),
				(long) Math.ceil(INPUT_SHARE * Runtime.getRuntime().maxMemory()),
				(int) Math.ceil(UNPROVEN_LINK_SHARE * available));
	}

	/**
	 * Returns the number of descriptors that the operating system allows this process.
	 * @return the number, {@value #DEFAULT_DESCRIPTORS} if it is unlimited or unknown
	 */
	public static int processDescriptors() {
		try {
			return Files.readAllLines(PROCESS_LIMITS)
				.stream()
				.filter((line) -> line.startsWith(DESCRIPTOR_LIMIT))
				.map((line) -> line.substring(DESCRIPTOR_LIMIT.length()).trim().split(" ")[0])
				.filter((value) -> value.matches("[0-9]{1,9}"))
				.mapToInt(Integer::parseInt)
				.findFirst()
				.orElse(DEFAULT_DESCRIPTORS);
		}
		catch (IOException ex) {
			return DEFAULT_DESCRIPTORS;
		}
	}

}
