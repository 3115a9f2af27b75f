package org.baobabspar.daemon;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;

/**
 * The JSON mapper of callers' and operators' interfaces. Immutable and safe for any
 * thread.
 */
public final class Json {

	/** Strict mapper: unknown fields are faults. */
	public static final JsonMapper MAPPER = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private Json() {
	}

	/**
	 * Write a value.
	 * @param value the value
	 * @return the value in JSON
	 */
	public static byte[] bytes(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new CodedException(ResultCode.MALFORMED_REQUEST, "a value cannot be written as JSON", ex);
		}
	}

	/**
	 * Read a result as JSON where it is, else as a text.
	 * @param result bytes of an endpoint
	 * @return a JSON value
	 */
	public static JsonNode lenient(byte[] result) {
		try {
			JsonNode n = MAPPER.readTree(result);
			return n.isMissingNode() ? MAPPER.nullNode() : n;
		}
		catch (IOException ex) {
			return MAPPER.getNodeFactory().textNode(new String(result, StandardCharsets.UTF_8));
		}
	}

}
