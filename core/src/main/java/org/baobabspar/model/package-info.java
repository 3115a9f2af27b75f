/**
 * Values that every part of the dispatcher shares: jobs, tasks, claims, answers, codes.
 */
package org.baobabspar.model;
