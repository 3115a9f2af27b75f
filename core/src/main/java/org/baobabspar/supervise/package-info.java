/**
 * The agent's side of a run: leases, room and the state of its endpoint.
 */
package org.baobabspar.supervise;
