package org.baobabspar.bench;

/**
 * What became of one job of a trace. Immutable.
 *
 * @param job the job
 * @param jobId its identity in the system
 * @param code number of the last answer's result code
 * @param responseMillis from its arrival to the last answer
 * @param attempts how often it was submitted
 */
record Outcome(TraceJob job, String jobId, int code, double responseMillis, int attempts) {

	boolean complete() {
		return this.code == 0;
	}

}
