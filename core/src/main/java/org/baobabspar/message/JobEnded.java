package org.baobabspar.message;

import org.baobabspar.model.JobAnswer;

/**
 * Passes the answer of a job to an entry whose caller waits for it. Immutable.
 *
 * @param answer the answer
 */
public record JobEnded(JobAnswer answer) implements Message {
}
