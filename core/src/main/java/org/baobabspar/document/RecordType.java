package org.baobabspar.document;

/**
 * Types of records in the log stream of environment documents. Immutable and thread-safe.
 */
public enum RecordType {

	/** Publishes a document, which makes it available on trial. */
	PUBLISH,

	/** Puts a published version in force, replacing another. */
	PROMOTE,

	/**
	 * Repeats the version in force, so that it stays on the log when its original records
	 * expire.
	 */
	CARRY

}
