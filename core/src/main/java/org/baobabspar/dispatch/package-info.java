/**
 * The entry's side of a job: which job is next, where its tasks run and what is answered.
 */
package org.baobabspar.dispatch;
