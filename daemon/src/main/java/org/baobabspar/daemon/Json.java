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
 * JSON mapping for the interfaces of callers and operators. Immutable and safe for any
 * thread.
 */
public final class Json {

	/** Strict mapper that rejects unknown fields and trailing tokens. */
	public static final JsonMapper MAPPER = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private Json() {
	}

	/**
	 * Serializes a value.
	 * @param value the value
	 * @return the value in JSON
	 */
	public static byte[] bytes(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new CodedException(ResultCode.MALFORMED_REQUEST, "a value cannot be serialized as JSON", ex);
		}
	}

	/**
	 * Parses a result as JSON, or returns it as a text value if it is not valid JSON.
	 * @param result the result of an endpoint
	 * @return a JSON value
	 */
	public static JsonNode lenient(byte[] result) {
		try {
			JsonNode node = MAPPER.readTree(result);
			return node.isMissingNode() ? MAPPER.nullNode() : node;
		}
		catch (IOException ex) {
			return MAPPER.getNodeFactory().textNode(new String(result, StandardCharsets.UTF_8));
		}
	}

}
