package org.baobabspar.entry;

import java.util.List;
import java.util.Optional;

import org.baobabspar.document.DocumentVersion;
import org.baobabspar.document.EnvironmentDocument;
import org.baobabspar.document.Party;
import org.baobabspar.document.TaskClass;
import org.baobabspar.model.JobAnswer;
import org.baobabspar.model.JobSpec;
import org.baobabspar.model.ResultCode;
import org.baobabspar.model.TaskSpec;

/**
 * Decides whether a job may wait here. A job is refused early, by the wait it has to
 * expect rather than by the length of the queue, since its caller can still go elsewhere
 * or come back later.
 * <p>
 * Example: party A has 400 tasks of 200 ms waiting, half of 80 slots are its share and
 * the other party also has work: the expected wait is {@code 400 * 200 / 40 = 2000} ms.
 * <p>
 * Stateless but for the board. Used on the control thread only.
 */
final class AdmissionController {

	private final Blackboard board;

	private final MembershipController membership;

	AdmissionController(Blackboard board, MembershipController membership) {
		this.board = board;
		this.membership = membership;
	}

	/**
	 * Check what does not depend on load.
	 * @param spec the submission
	 * @return a refusal, or empty
	 */
	Optional<JobAnswer> checkSpec(JobSpec spec) {
		Optional<EnvironmentDocument> d = this.board.document(spec.stage()).map(DocumentVersion::document);
		if (d.isEmpty()) {
			return refuse(spec, ResultCode.NO_DOCUMENT, ResultCode.NO_DOCUMENT.message());
		}
		if (d.get().party(spec.party()).isEmpty()) {
			return refuse(spec, ResultCode.UNKNOWN_PARTY,
					"party: '" + spec.party() + "' is not in environment " + d.get().environment());
		}
		if (d.get().taskClass(spec.taskClass()).isEmpty()) {
			return refuse(spec, ResultCode.UNKNOWN_CLASS,
					"class: '" + spec.taskClass() + "' is not in environment " + d.get().environment());
		}
		return Optional.empty();
	}

	/**
	 * Check a job of which no task was started.
	 * @param j the job
	 * @return a refusal, or empty if it may wait
	 */
	Optional<JobAnswer> checkLoad(JobRecord j) {
		JobSpec spec = j.spec();
		int slots = 0;
		long largest = -1;
		for (AgentRecord a : this.board.agents().values()) {
			if (this.membership.usable(a)) {
				slots += Math.max(a.limit(), 1);
				largest = Math.max(largest, a.info().megabytes());
			}
		}
		if (slots == 0) {
			return refuse(spec, ResultCode.NO_ENDPOINT, ResultCode.NO_ENDPOINT.message());
		}
		long need = spec.tasks().stream().mapToLong(TaskSpec::declaredMegabytes).max().orElse(0);
		if (need > largest) {
			return refuse(spec, ResultCode.NEVER_FITS,
					"declaredMegabytes: " + need + ", the largest endpoint has " + largest + " MB");
		}
		return checkWait(j, slots);
	}

	private Optional<JobAnswer> checkWait(JobRecord j, int slots) {
		JobSpec spec = j.spec();
		Optional<Party> party = this.board.document(spec.stage()).flatMap((v) -> v.document().party(spec.party()));
		int quota = party.map(Party::maxWaitingTasks).orElse(0);
		int waiting = this.board.queue().waiting(spec.party());
		if (waiting + spec.tasks().size() > quota) {
			return refuseUntil(j, ResultCode.QUOTA_EXCEEDED,
					"tasks waiting: " + waiting + ", with this job over the quota of " + quota, j.taskClass());
		}
		long wait = expectedWaitMillis(spec.party(), j.taskClass(), slots);
		long bound = j.taskClass().queueBoundMillis();
		if (wait > bound) {
			return refuseUntil(j, ResultCode.OVERLOADED,
					"expected wait: " + wait + " ms, bound of class " + j.taskClass().name() + ": " + bound + " ms",
					j.taskClass());
		}
		return Optional.empty();
	}

	private long expectedWaitMillis(String party, TaskClass c, int slots) {
		int ahead = this.board.queue().waitingAhead(party, c.urgency());
		double share = 0;
		double active = 0;
		for (Party p : this.board.production().map((v) -> v.document().parties()).orElse(List.of())) {
			boolean own = p.name().equals(party);
			share += own ? p.share() : 0;
			active += (own || this.board.queue().waiting(p.name()) > 0) ? p.share() : 0;
		}
		double part = (active > 0) ? share / active : 1;
		return Math.round(ahead * this.board.model().meanMillis(c.name()) / Math.max(1, slots * part));
	}

	private Optional<JobAnswer> refuseUntil(JobRecord j, ResultCode code, String detail, TaskClass c) {
		long retryAfter = c.queueBoundMillis() / 2 + this.board.random().nextLong(c.queueBoundMillis() / 2 + 1);
		return Optional.of(new JobAnswer(j.id(), code.number(), detail, List.of(), retryAfter));
	}

	private static Optional<JobAnswer> refuse(JobSpec spec, ResultCode code, String detail) {
		return Optional.of(JobAnswer.failed(spec.id(), code, detail));
	}

}
