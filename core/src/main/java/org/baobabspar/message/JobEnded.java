package org.baobabspar.message;

import org.baobabspar.model.JobAnswer;

/**
 * Forwards the answer of a job to an entry whose caller is waiting for it. Immutable.
 *
 * @param answer the answer
 */
public record JobEnded(JobAnswer answer) implements Message {
}
