/**
 * Use of the fleet by party, its cumulative counters and the settlement.
 */
package org.baobabspar.usage;
