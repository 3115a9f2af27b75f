package org.baobabspar.message;

/**
 * Passes a promoted document on. Receivers keep the one with the highest promotion
 * offset. Immutable.
 *
 * @param environment the environment
 * @param version the version
 * @param promotionOffset offset of the promotion on the log; for a trial version, of its
 * publication
 * @param trial whether it is the newest published version rather than the promoted one
 * @param document the document as JSON
 */
public record DocumentNotice(String environment, long version, long promotionOffset, boolean trial,
		String document) implements Message {
}
