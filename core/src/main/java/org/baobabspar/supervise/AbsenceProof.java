package org.baobabspar.supervise;

import java.util.Optional;

import org.baobabspar.fleet.RunEnd;

/**
 * The proof that a run which an inventory does not list does not exist and never will.
 * Only with a proof is a run given back to its entry, which then starts the task
 * elsewhere. A start without an answer counts as a run that was stopped, since a later
 * incarnation of the endpoint may still carry it out before it is called. Immutable and
 * safe for any thread.
 *
 * @param end how the run ended
 * @param reason what the proof is, for the log
 */
record AbsenceProof(RunEnd end, String reason) {

	/**
	 * Returns what the absence of a run from an inventory proves. The inventory must come
	 * from the attached incarnation, list all ends, and be sent later than the event on
	 * which the proof relies; an inventory sent in the same millisecond may have been
	 * sent before it.
	 * @param run the run
	 * @param sentMillis when the inventory was requested
	 * @return the proof, empty if the run may exist or start later
	 */
	static Optional<AbsenceProof> of(SupervisedRun run, long sentMillis) {
		if (run.phase == SupervisedRun.Phase.STARTING) {
			return Optional.empty();
		}
		if (run.predecessorEndedMillis > 0) {
			boolean fenced = sentMillis > Math.max(run.predecessorEndedMillis, run.confirmedMillis);
			return fenced ? Optional.of(new AbsenceProof(RunEnd.LOST, "fence_accepted")) : Optional.empty();
		}
		return switch (run.phase) {
			case RUNNING -> (sentMillis > run.confirmedMillis)
					? Optional.of(new AbsenceProof(RunEnd.LOST, "start_confirmed")) : Optional.empty();
			case STOPPING -> (run.stopConfirmedMillis > 0 && sentMillis > run.stopConfirmedMillis)
					? Optional.of(new AbsenceProof(RunEnd.STOPPED, "stop_confirmed")) : Optional.empty();
			case STARTING, UNCERTAIN -> Optional.empty();
		};
	}

}
