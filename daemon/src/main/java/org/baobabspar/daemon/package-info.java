/**
 * The entry, the agent and the command line.
 */
package org.baobabspar.daemon;
