/**
 * Stand-ins for the platform log and for endpoints, for tests and the quick start only.
 */
package org.baobabspar.standin;
