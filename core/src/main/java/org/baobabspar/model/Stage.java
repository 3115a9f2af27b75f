package org.baobabspar.model;

/**
 * Selects the version of the environment document that applies to a submission. Immutable
 * and thread-safe.
 */
public enum Stage {

	/** The promoted version. */
	PRODUCTION,

	/** The newest published version. */
	TRIAL

}
