package org.baobabspar.model;

/**
 * Which version of an environment document judges a submission. Immutable.
 */
public enum Stage {

	/** The promoted version. */
	PRODUCTION,

	/** The newest published version. */
	TRIAL

}
