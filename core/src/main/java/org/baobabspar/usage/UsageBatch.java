package org.baobabspar.usage;

import java.util.List;

/**
 * A record in the log stream of usage counters. Immutable.
 *
 * @param entryRef id and incarnation of the entry that wrote the record
 * @param records cumulative usage counters
 */
public record UsageBatch(String entryRef, List<UsageRecord> records) {

	public UsageBatch {
		records = List.copyOf(records);
	}

}
