package org.baobabspar.usage;

/**
 * What a usage counter is kept by. Immutable.
 *
 * @param month the month, as {@code yyyy-MM} in UTC
 * @param party the party charged
 * @param taskClass the class of work
 * @param documentVersion the version of the environment document
 */
public record UsageKey(String month, String party, String taskClass, long documentVersion) {
}
