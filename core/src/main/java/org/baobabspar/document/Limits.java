package org.baobabspar.document;

/**
 * Fleet-wide limits of an environment document. Immutable.
 *
 * @param headroom fraction of the slots that is reserved for the most urgent class
 * @param maxSetAside maximum fraction of the endpoints that may be quarantined as
 * outliers because of failing tasks
 */
public record Limits(double headroom, double maxSetAside) {

	/** Limits that apply if a document specifies none. */
	public static final Limits DEFAULTS = new Limits(0.02, 0.34);

}
