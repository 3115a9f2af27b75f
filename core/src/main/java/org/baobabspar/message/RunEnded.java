package org.baobabspar.message;

import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;

/**
 * Tells the entry that ordered a run how it ended. Sent again on a new link until a
 * {@link LeaseGrant} confirms it. Immutable.
 *
 * @param sequence raised by the agent for each end of this entry's runs
 * @param run the run
 * @param end how it ended
 * @param ranMillis how long it ran, as far as the agent saw
 */
public record RunEnded(long sequence, RunKey run, RunEnd end, long ranMillis) implements Message {
}
