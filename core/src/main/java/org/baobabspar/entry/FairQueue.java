package org.baobabspar.entry;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.baobabspar.document.TaskClass;

/**
 * Orders the jobs that wait at an entry. A party below its agreed share of the slots
 * precedes a party above it, so that a flood of one party's most urgent work cannot use
 * up the share of another. Between parties on the same side of their shares, the more
 * urgent class comes first, then the party with the lower utilization of its share. The
 * utilization of a party counts the class in question and more urgent classes only, so
 * that its less urgent tasks, which may run on borrowed slots, do not delay its urgent
 * ones. Slots that a party leaves unused are thereby lent to others and become available
 * again within the duration of one task.
 * <p>
 * A class with a floor earns a fraction of a start whenever a more urgent task is started
 * ahead of it; once it has earned a whole start, it goes first.
 * <p>
 * Example: party A (share 0.6) uses 3 of 10 slots and has waiting work of urgency 1;
 * party B (share 0.4) uses 7 of 10 slots and has waiting work of urgency 0. A is next.
 * <p>
 * Invariant: a job is in the queue exactly while it has waiting tasks and has not been
 * deferred during a placement pass. Not thread-safe; used on the control thread only.
 */
final class FairQueue {

	private final Map<String, PartyQueue> parties = new LinkedHashMap<>();

	private final Map<String, Double> floorCredit = new HashMap<>();

	private int waitingTasks;

	private int waitingJobs;

	void addLast(JobRecord job) {
		queueFor(job).addLast(job);
		adjustCounts(job, 1);
	}

	void addFirst(JobRecord job) {
		queueFor(job).addFirst(job);
		adjustCounts(job, 1);
	}

	void remove(JobRecord job) {
		if (queueFor(job).remove(job)) {
			adjustCounts(job, -1);
		}
	}

	private Deque<JobRecord> queueFor(JobRecord job) {
		return this.parties.computeIfAbsent(job.party(), PartyQueue::new).queueFor(job.taskClass());
	}

	private void adjustCounts(JobRecord job, int sign) {
		this.waitingJobs += sign;
		this.waitingTasks += sign * job.waitingTasks();
		PartyQueue queue = this.parties.get(job.party());
		queue.waitingTasks += sign * job.waitingTasks();
		queue.waitingTasksByClass.merge(job.taskClass().name(), sign * job.waitingTasks(), Integer::sum);
	}

	/**
	 * Removes and returns the job whose task is to be placed next.
	 * @param utilization the share utilization of each party
	 * @return the job, or empty if the queue is empty
	 */
	Optional<JobRecord> poll(ShareUtilization utilization) {
		Optional<JobRecord> byFloor = headByFloor(utilization);
		Optional<JobRecord> job = byFloor.isPresent() ? byFloor : head(utilization, null);
		job.ifPresent(this::removeHead);
		return job;
	}

	private void removeHead(JobRecord job) {
		queueFor(job).pollFirst();
		adjustCounts(job, -1);
	}

	private Optional<JobRecord> headByFloor(ShareUtilization utilization) {
		for (Map.Entry<String, Double> entry : this.floorCredit.entrySet()) {
			if (entry.getValue() >= 1) {
				Optional<JobRecord> job = head(utilization, entry.getKey());
				if (job.isPresent()) {
					return job;
				}
				entry.setValue(0.0);
			}
		}
		return Optional.empty();
	}

	private Optional<JobRecord> head(ShareUtilization utilization, String onlyClass) {
		JobRecord best = null;
		double bestUtilization = 0;
		for (PartyQueue queue : this.parties.values()) {
			JobRecord job = queue.head(onlyClass);
			if (job != null) {
				double utilizationOfJob = utilization.shareUtilization(queue.party, job.taskClass().urgency());
				if (best == null || precedes(job, utilizationOfJob, best, bestUtilization)) {
					best = job;
					bestUtilization = utilizationOfJob;
				}
			}
		}
		return Optional.ofNullable(best);
	}

	private static boolean precedes(JobRecord jobA, double utilizationA, JobRecord jobB, double utilizationB) {
		boolean overA = utilizationA >= 1;
		boolean overB = utilizationB >= 1;
		if (overA != overB) {
			return overB;
		}
		int urgencyA = jobA.taskClass().urgency();
		int urgencyB = jobB.taskClass().urgency();
		return (urgencyA != urgencyB) ? urgencyA < urgencyB : utilizationA < utilizationB;
	}

	/**
	 * Records the start of a task and credits the classes with a floor that were passed
	 * over.
	 * @param startedClass the class of the started task
	 * @param classes all classes
	 */
	void recordStart(TaskClass startedClass, List<TaskClass> classes) {
		this.floorCredit.computeIfPresent(startedClass.name(), (c, e) -> Math.max(0, e - 1));
		for (TaskClass taskClass : classes) {
			if (taskClass.floor() > 0 && taskClass.urgency() > startedClass.urgency()
					&& waitingTasksOfClass(taskClass.name()) > 0) {
				this.floorCredit.merge(taskClass.name(), taskClass.floor(), (a, b) -> Math.min(2, a + b));
			}
		}
	}

	private int waitingTasksOfClass(String taskClass) {
		int total = 0;
		for (PartyQueue queue : this.parties.values()) {
			total += queue.waitingTasksByClass.getOrDefault(taskClass, 0);
		}
		return total;
	}

	int waitingTasks() {
		return this.waitingTasks;
	}

	int waitingJobs() {
		return this.waitingJobs;
	}

	int waitingTasksOf(String party) {
		PartyQueue queue = this.parties.get(party);
		return (queue != null) ? queue.waitingTasks : 0;
	}

	/**
	 * Counts the waiting tasks of a party that precede a new task of a class.
	 * @param party the party
	 * @param urgency the urgency of the class
	 * @return tasks of that urgency and of more urgent classes
	 */
	int waitingTasksAhead(String party, int urgency) {
		PartyQueue queue = this.parties.get(party);
		return (queue != null) ? queue.waitingTasksAhead(urgency) : 0;
	}

	/** Provides the current share utilization of each party. */
	interface ShareUtilization {

		/**
		 * Returns the ratio of used slots to agreed slots.
		 * @param party the party
		 * @param urgency the class urgency; less urgent classes are not counted
		 * @return 1 or more for a party at or above its share
		 */
		double shareUtilization(String party, int urgency);

	}

	/** The waiting jobs of one party, grouped by class. */
	private static final class PartyQueue {

		private final String party;

		private final Map<TaskClass, Deque<JobRecord>> queues = new TreeMap<>(
				Comparator.comparingInt(TaskClass::urgency).thenComparing(TaskClass::name));

		private final Map<String, Integer> waitingTasksByClass = new HashMap<>();

		private int waitingTasks;

		private PartyQueue(String party) {
			this.party = party;
		}

		private Deque<JobRecord> queueFor(TaskClass taskClass) {
			return this.queues.computeIfAbsent(taskClass, (k) -> new ArrayDeque<>());
		}

		private JobRecord head(String onlyClass) {
			for (Map.Entry<TaskClass, Deque<JobRecord>> entry : this.queues.entrySet()) {
				boolean wanted = onlyClass == null || entry.getKey().name().equals(onlyClass);
				if (wanted && !entry.getValue().isEmpty()) {
					return entry.getValue().peekFirst();
				}
			}
			return null;
		}

		private int waitingTasksAhead(int urgency) {
			int total = 0;
			for (Map.Entry<TaskClass, Deque<JobRecord>> entry : this.queues.entrySet()) {
				if (entry.getKey().urgency() <= urgency && !entry.getValue().isEmpty()) {
					total += this.waitingTasksByClass.getOrDefault(entry.getKey().name(), 0);
				}
			}
			return total;
		}

	}

}
