package org.baobabspar.document;

/**
 * One record on the stream of environment documents. Immutable.
 *
 * @param type the kind of record
 * @param environment the environment
 * @param requestId drawn by the writer, to find the record when the answer to an append
 * was lost
 * @param operator who wrote it
 * @param version the version promoted or carried; 0 for a publication, whose version is
 * its offset
 * @param replaces the version that a promotion replaces, 0 for none
 * @param promotionOffset for a carried version, the offset of its promotion
 * @param document the document for a publication or a carried version, else {@code null}
 */
public record DocumentRecord(RecordType type, String environment, String requestId, String operator, long version,
		long replaces, long promotionOffset, EnvironmentDocument document) {

	/**
	 * Return a record that publishes a document.
	 * @param requestId the writer's request
	 * @param operator who writes
	 * @param d the document
	 * @return the record
	 */
	public static DocumentRecord publish(String requestId, String operator, EnvironmentDocument d) {
		return new DocumentRecord(RecordType.PUBLISH, d.environment(), requestId, operator, 0, 0, 0, d);
	}

	/**
	 * Return a record that promotes a version.
	 * @param environment the environment
	 * @param requestId the writer's request
	 * @param operator who writes
	 * @param version the version to put in force
	 * @param replaces the version in force, 0 for none
	 * @return the record
	 */
	public static DocumentRecord promote(String environment, String requestId, String operator, long version,
			long replaces) {
		return new DocumentRecord(RecordType.PROMOTE, environment, requestId, operator, version, replaces, 0, null);
	}

	/**
	 * Return a record that repeats the version in force.
	 * @param v the version
	 * @return the record
	 */
	public static DocumentRecord carry(DocumentVersion v) {
		return new DocumentRecord(RecordType.CARRY, v.document().environment(), "carry-" + v.promotionOffset(),
				"baobabspar", v.version(), 0, v.promotionOffset(), v.document());
	}

}
