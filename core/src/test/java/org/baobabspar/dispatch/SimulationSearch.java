package org.baobabspar.dispatch;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

/**
 * Searches seeds for simulations in which runs overlap or another guarantee is violated,
 * and prints them with the trace of the one whose overlap comes soonest. Example, with
 * the test classes of this module and its dependencies on the class path:
 *
 * <pre>
 * java org.baobabspar.dispatch.SimulationSearch CLOCK_STEPS 1 1000
 * </pre>
 *
 * Simulations run in parallel, each of them in one thread.
 */
public final class SimulationSearch {

	private static final long DURATION_MILLIS = 40_000;

	private static final long JOB_INTERVAL_MILLIS = 60;

	private static final int MAX_LISTED = 12;

	private SimulationSearch() {
	}

	/**
	 * Searches the seeds of a range.
	 * @param arguments the fault mix, the first seed, the number of seeds and optionally
	 * the directory that takes the trace excerpts of all seeds with violations
	 * @throws IOException if a file can't be written
	 */
	public static void main(String[] arguments) throws IOException {
		FaultMix mix = FaultMix.valueOf(arguments[0]);
		long firstSeed = Long.parseLong(arguments[1]);
		long seedCount = Long.parseLong(arguments[2]);
		List<Result> results = LongStream.range(firstSeed, firstSeed + seedCount)
			.parallel()
			.mapToObj((seed) -> Result.of(seed, simulate(seed, mix)))
			.toList();
		print(System.out, mix, results);
		if (arguments.length > 3) {
			for (Result result : results) {
				if (!result.excerpt.isEmpty()) {
					Files.writeString(Path.of(arguments[3], mix + "-" + result.seed + ".txt"),
							result.overlaps + "\n" + result.otherViolations + "\n" + result.excerpt + "\n");
				}
			}
		}
	}

	private static SimulatedFleet simulate(long seed, FaultMix mix) {
		SimulatedFleet fleet = new SimulatedFleet(seed, mix);
		fleet.run(DURATION_MILLIS, JOB_INTERVAL_MILLIS);
		return fleet;
	}

	private static void print(PrintStream out, FaultMix mix, List<Result> results) {
		List<Result> overlapping = results.stream().filter((r) -> !r.overlaps.isEmpty()).toList();
		List<Result> otherwise = results.stream().filter((r) -> !r.otherViolations.isEmpty()).toList();
		out.println("mix=" + mix + " seeds=" + results.size() + " with_overlap=" + overlapping.size()
				+ " with_other_violation=" + otherwise.size());
		overlapping.stream().limit(MAX_LISTED).forEach((r) -> out.println("seed=" + r.seed + " " + r.overlaps.get(0)));
		otherwise.stream()
			.limit(MAX_LISTED)
			.forEach((r) -> out.println("seed=" + r.seed + " " + r.otherViolations.get(0)));
		List<Result> violated = new ArrayList<>(overlapping.isEmpty() ? otherwise : overlapping);
		violated.sort((a, b) -> Integer.compare(a.excerpt.length(), b.excerpt.length()));
		violated.stream().limit(1).forEach((r) -> out.println("seed=" + r.seed + "\n" + r.excerpt));
	}

	/**
	 * What a simulation showed.
	 *
	 * @param seed its seed
	 * @param overlaps runs that overlapped
	 * @param otherViolations other guarantees that were violated
	 * @param excerpt trace of the first violation
	 */
	private record Result(long seed, List<String> overlaps, List<String> otherViolations, String excerpt) {

		static Result of(long seed, SimulatedFleet fleet) {
			return new Result(seed, fleet.checker.overlaps, fleet.checker.otherViolations,
					fleet.checker.firstExcerpt());
		}

	}

}
