package org.baobabspar.message;

import java.util.List;

/**
 * Confirms that the receiver of a {@link CancelNotice}, and every process to which it
 * passed the notice on, starts no more runs of the jobs. Immutable.
 *
 * @param sequence number of the notice
 * @param knownJobIds the jobs of the notice that were known to one of these processes
 */
public record CancelReply(long sequence, List<String> knownJobIds) implements Message {

	/** Validates the components. */
	public CancelReply {
		knownJobIds = List.copyOf(knownJobIds);
	}

}
