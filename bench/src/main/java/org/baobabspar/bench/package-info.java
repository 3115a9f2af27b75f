/**
 * Load driver and measurements.
 */
package org.baobabspar.bench;
