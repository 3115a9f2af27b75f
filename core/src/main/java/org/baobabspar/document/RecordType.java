package org.baobabspar.document;

/**
 * Kinds of record on the stream of environment documents. Immutable.
 */
public enum RecordType {

	/** Makes a document available on trial. */
	PUBLISH,

	/** Puts a published version in force in place of another. */
	PROMOTE,

	/** Repeats the version in force before retention drops its first record. */
	CARRY

}
