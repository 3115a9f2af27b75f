/**
 * Small helpers without a home of their own.
 */
package org.baobabspar.misc;
