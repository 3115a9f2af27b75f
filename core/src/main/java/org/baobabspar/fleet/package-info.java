/**
 * What entries and agents agree on: rooms, runs, endpoints, routes and jobs.
 */
package org.baobabspar.fleet;
