package org.baobabspar.message;

/**
 * Distributes an environment document. Receivers keep the document with the highest
 * promotion offset. Immutable.
 *
 * @param environment name of the environment
 * @param version version of the document
 * @param promotionOffset log offset of the promotion, or of the publication if the
 * document is on trial
 * @param trial whether this is the newest published version rather than the promoted one
 * @param document the document as JSON
 */
public record DocumentNotice(String environment, long version, long promotionOffset, boolean trial,
		String document) implements Message {
}
