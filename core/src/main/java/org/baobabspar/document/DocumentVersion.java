package org.baobabspar.document;

/**
 * A version of an environment document. Immutable.
 *
 * @param version the version, one more than the offset of its publication
 * @param promotionOffset the offset of its promotion, or -1 if it was not promoted
 * @param document the document
 */
public record DocumentVersion(long version, long promotionOffset, EnvironmentDocument document) {
}
