/**
 * The decision logic of an entry: admission, queueing, placement, fencing and membership.
 */
package org.baobabspar.entry;
