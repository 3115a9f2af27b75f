package org.baobabspar.daemon;

import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;

/**
 * One page of records that the platform log returns for a read. Immutable.
 *
 * @param first the lowest offset that is still retained
 * @param next the offset to read from next
 * @param retentionMillis how long records are retained
 * @param records the records
 */
public record LogPage(long first, long next, long retentionMillis, List<Record> records) {

	/**
	 * A record of the log. Immutable.
	 *
	 * @param offset its offset
	 * @param timeMillis when it was appended, milliseconds since 1970
	 * @param value its content
	 */
	public record Record(long offset, long timeMillis, JsonNode value) {

		/**
		 * Converts the content to a type.
		 * @param type the type
		 * @param <T> the type of the result
		 * @return the content
		 * @throws CodedException with {@link ResultCode#DOCUMENT_INVALID}
		 */
		public <T> T as(Class<T> type) {
			try {
				return Json.MAPPER.treeToValue(this.value, type);
			}
			catch (JsonProcessingException | IllegalArgumentException ex) {
				throw new CodedException(ResultCode.DOCUMENT_INVALID, "record " + this.offset + " cannot be parsed",
						ex);
			}
		}

	}

}
