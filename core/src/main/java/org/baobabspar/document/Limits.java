package org.baobabspar.document;

/**
 * Fleet-wide limits of an environment document. Immutable.
 *
 * @param headroom fraction of the slots that only the most urgent class may use
 * @param maxSetAside largest fraction of the endpoints that may be set aside for failing
 */
public record Limits(double headroom, double maxSetAside) {

	/** Limits of a document that states none. */
	public static final Limits DEFAULTS = new Limits(0.02, 0.34);

}
