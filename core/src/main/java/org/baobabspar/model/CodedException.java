package org.baobabspar.model;

/**
 * Unchecked exception with a numbered result code. Immutable and thread-safe.
 */
public class CodedException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final ResultCode code;

	/**
	 * Creates an exception.
	 * @param code the result code
	 * @param detail description of the fault: the name, the value, the valid range and
	 * its unit
	 */
	public CodedException(ResultCode code, String detail) {
		super(detail);
		this.code = code;
	}

	/**
	 * Creates an exception with a cause.
	 * @param code the result code
	 * @param detail description of the fault
	 * @param cause the underlying exception
	 */
	public CodedException(ResultCode code, String detail, Throwable cause) {
		super(detail, cause);
		this.code = code;
	}

	public ResultCode code() {
		return this.code;
	}

}
