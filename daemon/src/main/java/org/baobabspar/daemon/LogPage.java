package org.baobabspar.daemon;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What the platform log returns for a read. Immutable.
 *
 * @param first the lowest offset that is still kept
 * @param next the offset to read from next
 * @param retentionMillis how long records are kept
 * @param records the records
 */
public record LogPage(long first, long next, long retentionMillis, List<Record> records) {

	/**
	 * A record. Immutable.
	 *
	 * @param offset its offset
	 * @param timeMillis when it was appended, milliseconds since 1970
	 * @param value its content
	 */
	public record Record(long offset, long timeMillis, JsonNode value) {
	}

}
