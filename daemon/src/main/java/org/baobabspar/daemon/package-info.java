/**
 * The entry and agent processes, their HTTP interfaces and the command line.
 */
package org.baobabspar.daemon;
