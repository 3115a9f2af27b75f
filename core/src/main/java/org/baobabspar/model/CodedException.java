package org.baobabspar.model;

/**
 * Unchecked exception that carries a numbered result code. Immutable and safe for any
 * thread.
 */
public class CodedException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final ResultCode code;

	/**
	 * Create an exception.
	 * @param code the numbered code
	 * @param detail what was at fault: the name, the value, the range and the unit
	 */
	public CodedException(ResultCode code, String detail) {
		super(detail);
		this.code = code;
	}

	/**
	 * Create an exception with a cause.
	 * @param code the numbered code
	 * @param detail what was at fault
	 * @param cause the underlying fault
	 */
	public CodedException(ResultCode code, String detail, Throwable cause) {
		super(detail, cause);
		this.code = code;
	}

	public ResultCode code() {
		return this.code;
	}

}
