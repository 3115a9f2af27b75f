/**
 * Environment documents, their records on the platform log, and the version in force.
 */
package org.baobabspar.document;
