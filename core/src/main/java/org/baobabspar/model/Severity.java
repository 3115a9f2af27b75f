package org.baobabspar.model;

/**
 * Severity of a result code from the operator's point of view. Immutable and thread-safe.
 */
public enum Severity {

	/** Expected during normal operation. */
	INFO,

	/** Should be investigated if frequent. */
	WARNING,

	/** Requires action by an operator or a fix in the caller. */
	ERROR

}
