package org.baobabspar.standin;

/**
 * Faults injected into the platform log stand-in. Immutable.
 *
 * @param down whether every call is refused
 * @param slowMillis delay of every response
 * @param loseAnswers whether appends take effect but return an error
 * @param loseAppends whether appends return an error and take no effect
 */
public record LogFaults(boolean down, long slowMillis, boolean loseAnswers, boolean loseAppends) {

	/** No fault. */
	public static final LogFaults NONE = new LogFaults(false, 0, false, false);

}
