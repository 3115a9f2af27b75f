/**
 * General-purpose utilities.
 */
package org.baobabspar.misc;
