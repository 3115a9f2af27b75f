package org.baobabspar.model;

/**
 * One task as its caller declared it. Immutable but for the payload's bytes, which nobody
 * writes.
 *
 * @param payload the bytes handed to the endpoint
 * @param declaredMillis the declared run time; may be far off
 * @param declaredMegabytes the declared memory need
 */
public record TaskSpec(byte[] payload, long declaredMillis, long declaredMegabytes) {

	/** Largest payload of one task, in bytes. */
	public static final int MAX_PAYLOAD_BYTES = 64 * 1024;

	/** Largest declared run time, in milliseconds. */
	public static final long MAX_DECLARED_MILLIS = 600_000;

	/** Largest declared memory need, in megabytes. */
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
