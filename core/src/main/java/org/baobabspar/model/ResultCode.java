package org.baobabspar.model;

import java.util.Arrays;
import java.util.Optional;

/**
 * Numbered result of a submission, a dispatch, a frame or an operator command. The family
 * of a code is a guarantee: a code of the family {@link CodeFamily#NOT_RUN} is returned
 * only if it is certain that no task of the submission was started and that none will be.
 * <p>
 * Invariant: numbers are unique and never change their meaning. Immutable and
 * thread-safe.
 */
public enum ResultCode {

	/** Every task ran and the answer contains all results. */
	COMPLETE(0, CodeFamily.COMPLETE, 200, Severity.INFO, "every task ran and the answer is whole"),

	/** The request cannot be parsed. */
	MALFORMED_REQUEST(100, CodeFamily.NOT_RUN, 400, Severity.INFO, "the request is not readable"),

	/** A field is missing, unknown or out of range. */
	INVALID_FIELD(101, CodeFamily.NOT_RUN, 400, Severity.INFO, "a field is missing, unknown or out of range"),

	/** The customer is not listed in the environment document in force. */
	UNKNOWN_PARTY(102, CodeFamily.NOT_RUN, 422, Severity.WARNING, "the party is not in the environment document"),

	/** The task class is not listed in the environment document in force. */
	UNKNOWN_CLASS(103, CodeFamily.NOT_RUN, 422, Severity.WARNING, "the class is not in the environment document"),

	/** The request or a payload exceeds its maximum size. */
	PAYLOAD_TOO_LARGE(104, CodeFamily.NOT_RUN, 413, Severity.INFO, "the request or a payload passes its bound"),

	/** The number of tasks is out of range. */
	TASK_COUNT(105, CodeFamily.NOT_RUN, 400, Severity.INFO, "a job holds 1 to 1200 tasks"),

	/** The idempotency key was already used with a different body. */
	KEY_REUSED(106, CodeFamily.NOT_RUN, 409, Severity.WARNING, "the idempotency key was used for another body"),

	/** The expected queueing time exceeds the limit of the task class. */
	OVERLOADED(107, CodeFamily.NOT_RUN, 429, Severity.INFO, "the expected wait passes the bound of the class"),

	/** No task was started within the queueing limit of the task class. */
	QUEUE_TIMEOUT(108, CodeFamily.NOT_RUN, 503, Severity.WARNING, "the job waited past the bound of its class"),

	/** No endpoint has enough capacity for a task of the job. */
	NEVER_FITS(109, CodeFamily.NOT_RUN, 422, Severity.WARNING, "no endpoint is large enough for a task"),

	/** Cancelled before any task was started. */
	CANCELLED(110, CodeFamily.NOT_RUN, 409, Severity.INFO, "cancelled before any task was started"),

	/** The entry is shutting down. */
	ENTRY_DRAINING(111, CodeFamily.NOT_RUN, 503, Severity.INFO, "the entry is shutting down"),

	/** No environment document is in force yet. */
	NO_DOCUMENT(112, CodeFamily.NOT_RUN, 503, Severity.WARNING, "no environment document is in force yet"),

	/** The customer has more waiting tasks than its quota allows. */
	QUOTA_EXCEEDED(113, CodeFamily.NOT_RUN, 429, Severity.INFO, "the party has more tasks waiting than its quota"),

	/** The deadline passed before any task was started. */
	DEADLINE_NOT_RUN(114, CodeFamily.NOT_RUN, 504, Severity.INFO, "the deadline passed before any task was started"),

	/** No endpoint currently accepts tasks. */
	NO_ENDPOINT(115, CodeFamily.NOT_RUN, 503, Severity.WARNING, "no endpoint serves at present"),

	/** The entry has reached its maximum number of jobs. */
	ENTRY_FULL(116, CodeFamily.NOT_RUN, 503, Severity.ERROR, "the entry holds as many jobs as its bound allows"),

	/** An agent or entry did not answer, so it is unknown whether tasks were started. */
	OUTCOME_UNKNOWN(200, CodeFamily.UNKNOWN, 504, Severity.WARNING,
			"outcome unknown, nothing was started by this attempt"),

	/** A later attempt has taken over the job. */
	SUPERSEDED(201, CodeFamily.UNKNOWN, 409, Severity.INFO, "a later attempt has taken the job over"),

	/** The outcome of earlier attempts cannot be determined at present. */
	ASK_LATER(202, CodeFamily.UNKNOWN, 503, Severity.INFO, "outcome unknown, ask again later"),

	/** An agent was lost after tasks had been dispatched to it. */
	AGENT_LOST(203, CodeFamily.UNKNOWN, 504, Severity.WARNING, "an agent was lost with tasks it had been given"),

	/** The resubmission window has passed. */
	WINDOW_PASSED(204, CodeFamily.UNKNOWN, 409, Severity.INFO, "the resubmission window has passed"),

	/** The entry does not know the job. */
	JOB_UNKNOWN(205, CodeFamily.UNKNOWN, 404, Severity.INFO, "this entry does not know the job"),

	/** The job is not finished yet. */
	IN_PROGRESS(206, CodeFamily.UNKNOWN, 202, Severity.INFO, "the job is in progress"),

	/** An endpoint reported a failed task. */
	TASK_FAILED(300, CodeFamily.FAILED, 502, Severity.INFO, "an endpoint failed a task"),

	/** An endpoint did not finish a task in time. */
	TASK_TIMEOUT(301, CodeFamily.FAILED, 504, Severity.WARNING, "an endpoint did not answer a task in time"),

	/** Cancelled after at least one task was started. */
	CANCELLED_STARTED(302, CodeFamily.FAILED, 409, Severity.INFO, "cancelled after tasks were started"),

	/** The deadline passed after at least one task was started. */
	DEADLINE_STARTED(303, CodeFamily.FAILED, 504, Severity.INFO, "the deadline passed after tasks were started"),

	/** A result exceeds its maximum size. */
	RESULT_TOO_LARGE(304, CodeFamily.FAILED, 502, Severity.WARNING, "a task's result passes its bound"),

	/** The claim of the dispatch is fenced by a later one. */
	GATE_FENCED(400, CodeFamily.GATE, 500, Severity.INFO, "a later claim fences this one"),

	/** The lease of the dispatch has expired. */
	GATE_LEASE_EXPIRED(401, CodeFamily.GATE, 500, Severity.WARNING, "the dispatch is older than its lease"),

	/** No slot is free and the prefetch queue is full. */
	GATE_FULL(402, CodeFamily.GATE, 500, Severity.INFO, "no slot and no place in the prefetch queue"),

	/** The agent is draining. */
	GATE_DRAINING(403, CodeFamily.GATE, 500, Severity.INFO, "the agent is draining"),

	/** The start ledger has reached its maximum size. */
	GATE_LEDGER_FULL(404, CodeFamily.GATE, 500, Severity.ERROR, "the start ledger is full"),

	/** The endpoint could not be reached, so the task was not started. */
	GATE_ENDPOINT_DOWN(405, CodeFamily.GATE, 500, Severity.WARNING, "the endpoint could not be reached"),

	/** A frame exceeds its maximum size. */
	FRAME_TOO_LARGE(500, CodeFamily.WIRE, 500, Severity.ERROR, "a frame passes its bound"),

	/** A frame has another protocol version. */
	FRAME_VERSION(501, CodeFamily.WIRE, 500, Severity.ERROR, "a frame has another protocol version"),

	/** A frame has an unknown type. */
	FRAME_TYPE(502, CodeFamily.WIRE, 500, Severity.ERROR, "a frame has an unknown type"),

	/** The body of a frame cannot be decoded. */
	FRAME_BODY(503, CodeFamily.WIRE, 500, Severity.ERROR, "a frame's body is not readable"),

	/** The send buffer overflowed because the peer reads too slowly. */
	SEND_OVERFLOW(504, CodeFamily.WIRE, 500, Severity.WARNING, "the peer reads too slowly"),

	/** An environment document is invalid. */
	DOCUMENT_INVALID(600, CodeFamily.OPERATION, 400, Severity.ERROR, "the environment document breaks a rule"),

	/** Another promotion took effect first. */
	PROMOTION_LOST(601, CodeFamily.OPERATION, 409, Severity.WARNING,
			"another promotion came first; look at the version in force and promote again"),

	/** The version was not published. */
	VERSION_UNKNOWN(602, CodeFamily.OPERATION, 404, Severity.ERROR, "the version was not published"),

	/** The version is not newer than the one in force. */
	VERSION_NOT_NEWER(603, CodeFamily.OPERATION, 409, Severity.ERROR,
			"the version is not newer than the one in force; publish it again to go back to its contents"),

	/** The platform log does not answer. */
	LOG_UNAVAILABLE(604, CodeFamily.OPERATION, 503, Severity.ERROR, "the platform log does not answer"),

	/** A setting is missing, unknown or out of range. */
	SETTING_INVALID(700, CodeFamily.OPERATION, 500, Severity.ERROR, "a setting is missing, unknown or out of range"),

	/** A port is in use by another process. */
	PORT_IN_USE(701, CodeFamily.OPERATION, 500, Severity.ERROR, "the port is in use by another process"),

	/** An address does not answer. */
	UNREACHABLE(702, CodeFamily.OPERATION, 503, Severity.ERROR, "the address does not answer");

	private final int number;

	private final CodeFamily family;

	private final int httpStatus;

	private final Severity severity;

	private final String message;

	ResultCode(int number, CodeFamily family, int httpStatus, Severity severity, String message) {
		this.number = number;
		this.family = family;
		this.httpStatus = httpStatus;
		this.severity = severity;
		this.message = message;
	}

	public int number() {
		return this.number;
	}

	public CodeFamily family() {
		return this.family;
	}

	public int httpStatus() {
		return this.httpStatus;
	}

	public Severity severity() {
		return this.severity;
	}

	public String message() {
		return this.message;
	}

	/**
	 * Finds a code by its number.
	 * @param number the number
	 * @return the code, or empty for an unassigned number
	 */
	public static Optional<ResultCode> of(int number) {
		return Arrays.stream(values()).filter((c) -> c.number == number).findFirst();
	}

}
