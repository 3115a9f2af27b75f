/**
 * Data types used by all parts of the dispatcher: jobs, tasks, claims, answers and result
 * codes.
 */
package org.baobabspar.model;
