package org.baobabspar.message;

/**
 * What an entry knows of a job that another entry asks about. Immutable.
 */
public enum JobStanding {

	/** Never given to this entry, or refused as not run; lower claims are refused now. */
	NOT_HELD,

	/** Held here; the asker's caller is attached and will get the answer. */
	HELD,

	/** Not started here; the asker's higher claim wins and gets this entry's callers. */
	YIELDED,

	/** As {@link #YIELDED}, and the outcome of an earlier attempt here is not known. */
	YIELDED_IN_DOUBT,

	/** Held here once, with an outcome that is not known. */
	IN_DOUBT,

	/** A higher claim was seen here. */
	SUPERSEDED,

	/** Held here with another body. */
	BODY_DIFFERS

}
