package org.baobabspar.document;

/**
 * A record in the log stream of environment documents. Immutable.
 *
 * @param type type of the record
 * @param environment name of the environment
 * @param requestId unique id chosen by the writer, which lets it find the record if the
 * response to its append was lost
 * @param operator name of the operator who wrote the record
 * @param version version that is promoted or carried; 0 for a publication, whose version
 * follows from its offset
 * @param replaces version that a promotion replaces, 0 for none
 * @param promotionOffset log offset of the promotion of a carried version
 * @param document the document of a publication or a carried version, otherwise
 * {@code null}
 */
public record DocumentRecord(RecordType type, String environment, String requestId, String operator, long version,
		long replaces, long promotionOffset, EnvironmentDocument document) {

	/**
	 * Creates a record that publishes a document.
	 * @param requestId unique request id
	 * @param operator name of the operator
	 * @param document the document
	 * @return the record
	 */
	public static DocumentRecord publish(String requestId, String operator, EnvironmentDocument document) {
		return new DocumentRecord(RecordType.PUBLISH, document.environment(), requestId, operator, 0, 0, 0, document);
	}

	/**
	 * Creates a record that promotes a version.
	 * @param environment name of the environment
	 * @param requestId unique request id
	 * @param operator name of the operator
	 * @param version the version to put in force
	 * @param replaces the version currently in force, 0 for none
	 * @return the record
	 */
	public static DocumentRecord promote(String environment, String requestId, String operator, long version,
			long replaces) {
		return new DocumentRecord(RecordType.PROMOTE, environment, requestId, operator, version, replaces, 0, null);
	}

	/**
	 * Creates a record that repeats the version in force.
	 * @param inForce the version in force
	 * @return the record
	 */
	public static DocumentRecord carry(DocumentVersion inForce) {
		return new DocumentRecord(RecordType.CARRY, inForce.document().environment(),
				"carry-" + inForce.promotionOffset(), "baobabspar", inForce.version(), 0, inForce.promotionOffset(),
				inForce.document());
	}

}
