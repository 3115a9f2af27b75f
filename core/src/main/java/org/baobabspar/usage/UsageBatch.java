package org.baobabspar.usage;

import java.util.List;

/**
 * One record on the stream of use. Immutable.
 *
 * @param entryRef the entry that wrote it
 * @param records cumulative counters
 */
public record UsageBatch(String entryRef, List<UsageRecord> records) {

	public UsageBatch {
		records = List.copyOf(records);
	}

}
