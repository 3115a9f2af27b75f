package org.baobabspar.daemon;

import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;

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

		/**
		 * Read the content as a type.
		 * @param type the type
		 * @param <T> the type
		 * @return the content
		 * @throws CodedException with {@link ResultCode#DOCUMENT_INVALID}
		 */
		public <T> T as(Class<T> type) {
			try {
				return Json.MAPPER.treeToValue(this.value, type);
			}
			catch (JsonProcessingException | IllegalArgumentException ex) {
				throw new CodedException(ResultCode.DOCUMENT_INVALID, "record " + this.offset + " is not readable", ex);
			}
		}

	}

}
