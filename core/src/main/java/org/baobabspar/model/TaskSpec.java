package org.baobabspar.model;

/**
 * A task as declared by the caller. Immutable, provided that no one modifies the payload
 * array.
 *
 * @param payload the bytes passed to the endpoint
 * @param declaredMillis the declared run time, which may be inaccurate by a large factor
 * @param declaredMegabytes the declared memory requirement
 */
public record TaskSpec(byte[] payload, long declaredMillis, long declaredMegabytes) {

	/** Maximum payload size of one task. */
	public static final int MAX_PAYLOAD_BYTES = 64 * 1024;

	/** Maximum declared run time. */
	public static final long MAX_DECLARED_MILLIS = 600_000;

	/** Maximum declared memory requirement. */
	public static final long MAX_DECLARED_MEGABYTES = 1 << 20;

	public TaskSpec {
		if (payload.length > MAX_PAYLOAD_BYTES) {
			throw new CodedException(ResultCode.PAYLOAD_TOO_LARGE,
					"payload: " + payload.length + " bytes, at most " + MAX_PAYLOAD_BYTES);
		}
		if (declaredMillis < 0 || declaredMillis > MAX_DECLARED_MILLIS) {
			throw new CodedException(ResultCode.INVALID_FIELD,
					"declaredMillis: " + declaredMillis + ", 0 to " + MAX_DECLARED_MILLIS + " ms");
		}
		if (declaredMegabytes < 0 || declaredMegabytes > MAX_DECLARED_MEGABYTES) {
			throw new CodedException(ResultCode.INVALID_FIELD,
					"declaredMegabytes: " + declaredMegabytes + ", 0 to " + MAX_DECLARED_MEGABYTES + " MB");
		}
	}

}
