/**
 * Data types that entries and agents share: resources, runs, endpoints, routes and jobs.
 */
package org.baobabspar.fleet;
