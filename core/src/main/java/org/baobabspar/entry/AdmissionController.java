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
 * Decides whether a job is admitted to the queue. Admission is based on the expected wait
 * rather than on the queue length, and a job is refused early, while its caller can still
 * use another entry or retry later.
 * <p>
 * Example: party A has 400 waiting tasks of 200 ms, its share is half of 80 slots, and
 * the other party also has waiting tasks. The expected wait is {@code 400 * 200 / 40 =
 * 2000} ms.
 * <p>
 * Holds no state except the shared blackboard. Not thread-safe; used on the control
 * thread only.
 */
final class AdmissionController {

	private final Blackboard blackboard;

	private final MembershipController membership;

	AdmissionController(Blackboard blackboard, MembershipController membership) {
		this.blackboard = blackboard;
		this.membership = membership;
	}

	/**
	 * Checks the conditions that do not depend on the load.
	 * @param spec the submission
	 * @return a refusal, or empty
	 */
	Optional<JobAnswer> checkSpec(JobSpec spec) {
		Optional<EnvironmentDocument> document = this.blackboard.document(spec.stage()).map(DocumentVersion::document);
		if (document.isEmpty()) {
			return refuse(spec, ResultCode.NO_DOCUMENT, ResultCode.NO_DOCUMENT.message());
		}
		if (document.get().party(spec.party()).isEmpty()) {
			return refuse(spec, ResultCode.UNKNOWN_PARTY,
					"party: '" + spec.party() + "' is not in environment " + document.get().environment());
		}
		if (document.get().taskClass(spec.taskClass()).isEmpty()) {
			return refuse(spec, ResultCode.UNKNOWN_CLASS,
					"class: '" + spec.taskClass() + "' is not in environment " + document.get().environment());
		}
		return Optional.empty();
	}

	/**
	 * Checks the load-dependent conditions for a job of which no task was started.
	 * @param job the job
	 * @return a refusal, or empty if the job may wait
	 */
	Optional<JobAnswer> checkLoad(JobRecord job) {
		JobSpec spec = job.spec();
		int slots = 0;
		long largestMegabytes = -1;
		for (AgentRecord agent : this.blackboard.agents().values()) {
			if (this.membership.isUsable(agent)) {
				slots += Math.max(agent.limit(), 1);
				largestMegabytes = Math.max(largestMegabytes, agent.info().megabytes());
			}
		}
		if (slots == 0) {
			return refuse(spec, ResultCode.NO_ENDPOINT, ResultCode.NO_ENDPOINT.message());
		}
		long neededMegabytes = spec.tasks().stream().mapToLong(TaskSpec::declaredMegabytes).max().orElse(0);
		if (neededMegabytes > largestMegabytes) {
			return refuse(spec, ResultCode.NEVER_FITS,
					"declaredMegabytes: " + neededMegabytes + ", the largest endpoint has " + largestMegabytes + " MB");
		}
		return checkWait(job, slots);
	}

	private Optional<JobAnswer> checkWait(JobRecord job, int slots) {
		JobSpec spec = job.spec();
		Optional<Party> party = this.blackboard.document(spec.stage()).flatMap((v) -> v.document().party(spec.party()));
		int quota = party.map(Party::maxWaitingTasks).orElse(0);
		int waiting = this.blackboard.queue().waitingTasksOf(spec.party());
		if (waiting + spec.tasks().size() > quota) {
			return refuseUntil(job, ResultCode.QUOTA_EXCEEDED,
					"tasks waiting: " + waiting + "; this job would exceed the quota of " + quota, job.taskClass());
		}
		long expectedWait = expectedWaitMillis(spec.party(), job.taskClass(), slots);
		long waitBound = job.taskClass().queueBoundMillis();
		if (expectedWait > waitBound) {
			return refuseUntil(job, ResultCode.OVERLOADED, "expected wait: " + expectedWait + " ms, bound of class "
					+ job.taskClass().name() + ": " + waitBound + " ms", job.taskClass());
		}
		return Optional.empty();
	}

	private long expectedWaitMillis(String partyName, TaskClass taskClass, int slots) {
		int tasksAhead = this.blackboard.queue().waitingTasksAhead(partyName, taskClass.urgency());
		double share = 0;
		double activeShare = 0;
		for (Party party : this.blackboard.production().map((v) -> v.document().parties()).orElse(List.of())) {
			boolean isOwn = party.name().equals(partyName);
			share += isOwn ? party.share() : 0;
			activeShare += (isOwn || this.blackboard.queue().waitingTasksOf(party.name()) > 0) ? party.share() : 0;
		}
		double shareOfActive = (activeShare > 0) ? share / activeShare : 1;
		return Math.round(tasksAhead * this.blackboard.serviceTimes().meanMillis(taskClass.name())
				/ Math.max(1, slots * shareOfActive));
	}

	private Optional<JobAnswer> refuseUntil(JobRecord job, ResultCode code, String detail, TaskClass taskClass) {
		long retryAfter = taskClass.queueBoundMillis() / 2
				+ this.blackboard.random().nextLong(taskClass.queueBoundMillis() / 2 + 1);
		return Optional.of(new JobAnswer(job.id(), code.number(), detail, List.of(), retryAfter));
	}

	private static Optional<JobAnswer> refuse(JobSpec spec, ResultCode code, String detail) {
		return Optional.of(JobAnswer.failed(spec.id(), code, detail));
	}

}
