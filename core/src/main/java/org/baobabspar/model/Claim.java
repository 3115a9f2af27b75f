package org.baobabspar.model;

import java.util.Comparator;

/**
 * The right under which an entry starts tasks of a job. Claims on one job are totally
 * ordered: first by the attempt that the caller declared, then by a random rank that
 * settles two attempts with the same ordinal, last by a sequence that the holder raises
 * whenever it has to invalidate its own earlier dispatches.
 * <p>
 * Example: {@code (1, 77, 4) < (2, 12, 9) < (2, 12, 10) < (2, 31, 1)}.
 * <p>
 * Immutable and safe for any thread.
 *
 * @param attempt the attempt ordinal, 0 when the caller did not declare it
 * @param rank a random number drawn once for each submission
 * @param sequence raised by the holder, starts at 0
 */
public record Claim(int attempt, long rank, int sequence) implements Comparable<Claim> {

	private static final Comparator<Claim> ORDER = Comparator.comparingInt(Claim::attempt)
		.thenComparingLong(Claim::rank)
		.thenComparingInt(Claim::sequence);

	public Claim {
		if (attempt < 0 || sequence < 0) {
			throw new CodedException(ResultCode.INVALID_FIELD, "claim: attempt and sequence are 0 or more");
		}
	}

	@Override
	public int compareTo(Claim other) {
		return ORDER.compare(this, other);
	}

	/**
	 * Return the same claim with the next sequence.
	 * @return a claim that orders directly after this one
	 */
	public Claim next() {
		return new Claim(this.attempt, this.rank, this.sequence + 1);
	}
}
