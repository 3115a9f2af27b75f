package org.baobabspar.model;

import java.util.Comparator;

/**
 * Fencing token under which an entry starts the tasks of a job. The claims on a job are
 * totally ordered, and agents refuse dispatches with a lower claim than the highest one
 * seen. Claims are compared by the attempt number that the caller declared, then by a
 * random rank that breaks ties between attempts with the same number, then by a sequence
 * number that the holder increments to invalidate its own earlier dispatches.
 * <p>
 * Example: {@code (1, 77, 4) < (2, 12, 9) < (2, 12, 10) < (2, 31, 1)}.
 * <p>
 * Immutable and thread-safe.
 *
 * @param attempt attempt number, 0 if the caller did not declare it
 * @param rank random number drawn once per submission
 * @param sequence sequence number incremented by the holder, initially 0
 */
public record Claim(int attempt, long rank, int sequence) implements Comparable<Claim> {

	private static final Comparator<Claim> ORDER = Comparator.comparingInt(Claim::attempt)
		.thenComparingLong(Claim::rank)
		.thenComparingInt(Claim::sequence);

	public Claim {
		if (attempt < 0 || sequence < 0) {
			throw new CodedException(ResultCode.INVALID_FIELD, "claim: attempt and sequence must not be negative");
		}
	}

	@Override
	public int compareTo(Claim other) {
		return ORDER.compare(this, other);
	}

	/**
	 * Returns this claim with the next sequence number.
	 * @return the claim that follows this one in the order
	 */
	public Claim next() {
		return new Claim(this.attempt, this.rank, this.sequence + 1);
	}
}
