/**
 * Job dispatching of an entry: admission, the order in which jobs are placed, the choice
 * of endpoints for their tasks, retries, and the answers to callers.
 */
package org.baobabspar.dispatch;
