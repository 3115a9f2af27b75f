/**
 * Decisions of an entry: admission, queues, placing, fencing, membership.
 */
package org.baobabspar.entry;
