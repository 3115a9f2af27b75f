package org.baobabspar.usage;

/**
 * Key of a usage counter. Immutable.
 *
 * @param month the month, as {@code yyyy-MM} in UTC
 * @param party the customer that is charged
 * @param taskClass name of the task class
 * @param documentVersion version of the environment document
 */
public record UsageKey(String month, String party, String taskClass, long documentVersion) {
}
