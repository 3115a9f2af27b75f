package org.baobabspar.model;

/**
 * How much attention a result code deserves from an operator. Immutable.
 */
public enum Severity {

	/** Part of normal work. */
	INFO,

	/** Worth a look when frequent. */
	WARNING,

	/** Needs an operator or a fix in the caller. */
	ERROR

}
