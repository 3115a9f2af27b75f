package org.baobabspar.document;

/**
 * A version of an environment document. Immutable.
 *
 * @param version version number: the log offset of the publication plus one
 * @param promotionOffset log offset of the promotion, or -1 if the version was not
 * promoted
 * @param document the document
 */
public record DocumentVersion(long version, long promotionOffset, EnvironmentDocument document) {
}
