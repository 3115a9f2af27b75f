package org.baobabspar.message;

/**
 * State of a job at an entry that received a {@link JobAsk} from another entry. Immutable
 * and thread-safe.
 */
public enum JobStanding {

	/**
	 * Never submitted to this entry, or refused without being run. The entry refuses
	 * lower claims from now on.
	 */
	NOT_HELD,

	/**
	 * Held by this entry; the requesting entry's caller is attached and will receive the
	 * answer.
	 */
	HELD,

	/**
	 * Not started by this entry; the higher claim of the requesting entry takes
	 * precedence and takes over the callers of this entry.
	 */
	YIELDED,

	/**
	 * Like {@link #YIELDED}, and the outcome of an earlier attempt at this entry is
	 * unknown.
	 */
	YIELDED_IN_DOUBT,

	/** Formerly held by this entry, with an unknown outcome. */
	IN_DOUBT,

	/** This entry has seen a higher claim. */
	SUPERSEDED,

	/** Held by this entry with a different body. */
	BODY_DIFFERS

}
