/**
 * Protects a process against clients that send too much, too slowly or without end.
 */
package org.baobabspar.guard;
