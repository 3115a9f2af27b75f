/**
 * Supervision of runs by an agent: leases, room and the state of its endpoint.
 */
package org.baobabspar.supervise;
