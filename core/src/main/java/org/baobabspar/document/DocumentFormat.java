package org.baobabspar.document;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;

/**
 * Parses, validates and writes environment documents in JSON. Error messages name the
 * invalid fields. Stateless and thread-safe.
 */
public final class DocumentFormat {

	private static final JsonMapper JSON = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
		.build();

	private static final int MAX_PARTIES = 1000;

	private static final int MAX_CLASSES = 32;

	private static final long MAX_QUEUE_BOUND_MILLIS = 600_000;

	private static final int MAX_WAITING_TASKS = 10_000_000;

	/** Allows for rounding errors in sums of decimal fractions. */
	private static final double SHARE_TOLERANCE = 1e-9;

	private DocumentFormat() {
	}

	/**
	 * Parses and validates a document.
	 * @param json the document in JSON
	 * @return the document
	 * @throws CodedException with {@link ResultCode#DOCUMENT_INVALID} if the document is
	 * invalid; the message lists all errors
	 */
	public static EnvironmentDocument parse(String json) {
		EnvironmentDocument document = read(json);
		List<String> errors = validate(document);
		if (!errors.isEmpty()) {
			throw new CodedException(ResultCode.DOCUMENT_INVALID, String.join("; ", errors));
		}
		return document;
	}

	/**
	 * Writes a document.
	 * @param document the document
	 * @return the document in JSON
	 */
	public static String write(EnvironmentDocument document) {
		try {
			return JSON.writeValueAsString(document);
		}
		catch (JsonProcessingException ex) {
			throw new CodedException(ResultCode.DOCUMENT_INVALID, "the document cannot be written as JSON", ex);
		}
	}

	private static EnvironmentDocument read(String json) {
		try {
			EnvironmentDocument document = JSON.readValue(json, EnvironmentDocument.class);
			if (document == null) {
				throw new CodedException(ResultCode.DOCUMENT_INVALID, "the document is empty");
			}
			return document;
		}
		catch (UnrecognizedPropertyException ex) {
			throw new CodedException(ResultCode.DOCUMENT_INVALID, path(ex) + ": unknown field; known fields: "
					+ ex.getKnownPropertyIds().stream().map(String::valueOf).sorted().toList(), ex);
		}
		catch (JsonMappingException ex) {
			throw new CodedException(ResultCode.DOCUMENT_INVALID, path(ex) + ": " + ex.getOriginalMessage(), ex);
		}
		catch (JsonProcessingException ex) {
			throw new CodedException(ResultCode.DOCUMENT_INVALID, "line " + ex.getLocation().getLineNr() + ", column "
					+ ex.getLocation().getColumnNr() + ": " + ex.getOriginalMessage(), ex);
		}
	}

	private static String path(JsonMappingException ex) {
		StringBuilder path = new StringBuilder();
		for (JsonMappingException.Reference reference : ex.getPath()) {
			if (reference.getFieldName() != null) {
				path.append((path.length() > 0) ? "." : "").append(reference.getFieldName());
			}
			else {
				path.append('[').append(reference.getIndex()).append(']');
			}
		}
		return (path.length() > 0) ? path.toString() : "document";
	}

	private static List<String> validate(EnvironmentDocument document) {
		List<String> errors = new ArrayList<>();
		require(errors, isPresent(document.environment()), "environment: a name is required");
		validateParties(document, errors);
		validateClasses(document, errors);
		requireFraction(errors, "limits.headroom", document.limits().headroom());
		requireFraction(errors, "limits.maxSetAside", document.limits().maxSetAside());
		return errors;
	}

	private static void validateParties(EnvironmentDocument document, List<String> errors) {
		int count = document.parties().size();
		require(errors, count >= 1 && count <= MAX_PARTIES, "parties: " + count + ", 1 to " + MAX_PARTIES);
		Set<String> names = new HashSet<>();
		double shares = 0;
		for (int i = 0; i < count; i++) {
			Party party = document.parties().get(i);
			String path = "parties[" + i + "].";
			require(errors, isPresent(party.name()), path + "name: a name is required");
			require(errors, names.add(party.name()), path + "name: '" + party.name() + "' is used more than once");
			require(errors, party.share() > 0 && party.share() <= 1,
					path + "share: " + party.share() + ", above 0 and at most 1");
			requireRange(errors, path + "maxWaitingTasks", party.maxWaitingTasks(), 1, MAX_WAITING_TASKS);
			shares += party.share();
		}
		require(errors, shares <= 1 + SHARE_TOLERANCE, "parties: the sum of the shares is " + shares + ", at most 1");
	}

	private static void validateClasses(EnvironmentDocument document, List<String> errors) {
		int count = document.classes().size();
		require(errors, count >= 1 && count <= MAX_CLASSES, "classes: " + count + ", 1 to " + MAX_CLASSES);
		Set<String> names = new HashSet<>();
		double floors = 0;
		for (int i = 0; i < count; i++) {
			TaskClass taskClass = document.classes().get(i);
			String path = "classes[" + i + "].";
			require(errors, isPresent(taskClass.name()), path + "name: a name is required");
			require(errors, names.add(taskClass.name()),
					path + "name: '" + taskClass.name() + "' is used more than once");
			requireRange(errors, path + "urgency", taskClass.urgency(), 0, TaskClass.MAX_URGENCY);
			requireRange(errors, path + "queueBoundMillis", taskClass.queueBoundMillis(), 1, MAX_QUEUE_BOUND_MILLIS);
			requireFraction(errors, path + "floor", taskClass.floor());
			floors += taskClass.floor();
		}
		require(errors, floors <= 1 + SHARE_TOLERANCE, "classes: the sum of the floors is " + floors + ", at most 1");
	}

	private static boolean isPresent(String name) {
		return name != null && !name.isBlank();
	}

	private static void requireFraction(List<String> errors, String field, double value) {
		require(errors, value >= 0 && value <= 1, field + ": " + value + ", 0 to 1");
	}

	private static void requireRange(List<String> errors, String field, long value, long low, long high) {
		require(errors, value >= low && value <= high, field + ": " + value + ", " + low + " to " + high);
	}

	private static void require(List<String> errors, boolean holds, String error) {
		if (!holds) {
			errors.add(error);
		}
	}

}
