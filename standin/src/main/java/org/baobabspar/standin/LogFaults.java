package org.baobabspar.standin;

/**
 * Faults of the platform log stand-in. Immutable.
 *
 * @param down whether every call is refused
 * @param slowMillis delay of every answer
 * @param loseAnswers whether appends take effect but answer with a fault
 * @param loseAppends whether appends answer with a fault and take no effect
 */
public record LogFaults(boolean down, long slowMillis, boolean loseAnswers, boolean loseAppends) {

	/** No fault. */
	public static final LogFaults NONE = new LogFaults(false, 0, false, false);

}
