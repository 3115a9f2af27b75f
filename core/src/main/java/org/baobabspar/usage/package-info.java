/**
 * Usage of the fleet by customer: cumulative counters and the monthly settlement.
 */
package org.baobabspar.usage;
