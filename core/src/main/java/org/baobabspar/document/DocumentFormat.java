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
 * Reads and checks environment documents in JSON. Every fault names its field. Stateless
 * and safe for any thread.
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

	private static final double SHARE_TOLERANCE = 1e-9;

	private DocumentFormat() {
	}

	/**
	 * Read a document and check it.
	 * @param json the document
	 * @return the document
	 * @throws CodedException with {@link ResultCode#DOCUMENT_INVALID} naming every fault
	 */
	public static EnvironmentDocument parse(String json) {
		EnvironmentDocument d = read(json);
		List<String> faults = check(d);
		if (!faults.isEmpty()) {
			throw new CodedException(ResultCode.DOCUMENT_INVALID, String.join("; ", faults));
		}
		return d;
	}

	/**
	 * Write a document.
	 * @param d the document
	 * @return the document in JSON
	 */
	public static String write(EnvironmentDocument d) {
		try {
			return JSON.writeValueAsString(d);
		}
		catch (JsonProcessingException ex) {
			throw new CodedException(ResultCode.DOCUMENT_INVALID, "the document cannot be written", ex);
		}
	}

	private static EnvironmentDocument read(String json) {
		try {
			EnvironmentDocument d = JSON.readValue(json, EnvironmentDocument.class);
			if (d == null) {
				throw new CodedException(ResultCode.DOCUMENT_INVALID, "the document is empty");
			}
			return d;
		}
		catch (UnrecognizedPropertyException ex) {
			throw new CodedException(ResultCode.DOCUMENT_INVALID, path(ex) + ": unknown field; known here: "
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
		StringBuilder b = new StringBuilder();
		for (JsonMappingException.Reference r : ex.getPath()) {
			if (r.getFieldName() != null) {
				b.append((b.length() > 0) ? "." : "").append(r.getFieldName());
			}
			else {
				b.append('[').append(r.getIndex()).append(']');
			}
		}
		return (b.length() > 0) ? b.toString() : "document";
	}

	private static List<String> check(EnvironmentDocument d) {
		List<String> faults = new ArrayList<>();
		require(faults, named(d.environment()), "environment: a name is needed");
		checkParties(d, faults);
		checkClasses(d, faults);
		requireFraction(faults, "limits.headroom", d.limits().headroom());
		requireFraction(faults, "limits.maxSetAside", d.limits().maxSetAside());
		return faults;
	}

	private static void checkParties(EnvironmentDocument d, List<String> faults) {
		int n = d.parties().size();
		require(faults, n >= 1 && n <= MAX_PARTIES, "parties: " + n + ", 1 to " + MAX_PARTIES);
		Set<String> names = new HashSet<>();
		double sum = 0;
		for (int i = 0; i < n; i++) {
			Party p = d.parties().get(i);
			String at = "parties[" + i + "].";
			require(faults, named(p.name()), at + "name: a name is needed");
			require(faults, names.add(p.name()), at + "name: '" + p.name() + "' stands twice");
			require(faults, p.share() > 0 && p.share() <= 1, at + "share: " + p.share() + ", above 0 and at most 1");
			requireRange(faults, at + "maxWaitingTasks", p.maxWaitingTasks(), 1, MAX_WAITING_TASKS);
			sum += p.share();
		}
		require(faults, sum <= 1 + SHARE_TOLERANCE, "parties: the shares add up to " + sum + ", at most 1");
	}

	private static void checkClasses(EnvironmentDocument d, List<String> faults) {
		int n = d.classes().size();
		require(faults, n >= 1 && n <= MAX_CLASSES, "classes: " + n + ", 1 to " + MAX_CLASSES);
		Set<String> names = new HashSet<>();
		double floors = 0;
		for (int i = 0; i < n; i++) {
			TaskClass c = d.classes().get(i);
			String at = "classes[" + i + "].";
			require(faults, named(c.name()), at + "name: a name is needed");
			require(faults, names.add(c.name()), at + "name: '" + c.name() + "' stands twice");
			requireRange(faults, at + "urgency", c.urgency(), 0, TaskClass.MAX_URGENCY);
			requireRange(faults, at + "queueBoundMillis", c.queueBoundMillis(), 1, MAX_QUEUE_BOUND_MILLIS);
			requireFraction(faults, at + "floor", c.floor());
			floors += c.floor();
		}
		require(faults, floors <= 1 + SHARE_TOLERANCE, "classes: the floors add up to " + floors + ", at most 1");
	}

	private static boolean named(String s) {
		return s != null && !s.isBlank();
	}

	private static void requireFraction(List<String> faults, String field, double value) {
		require(faults, value >= 0 && value <= 1, field + ": " + value + ", 0 to 1");
	}

	private static void requireRange(List<String> faults, String field, long value, long low, long high) {
		require(faults, value >= low && value <= high, field + ": " + value + ", " + low + " to " + high);
	}

	private static void require(List<String> faults, boolean holds, String fault) {
		if (!holds) {
			faults.add(fault);
		}
	}

}
