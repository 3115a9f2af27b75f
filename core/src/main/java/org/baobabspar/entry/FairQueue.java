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
 * comes before one above it, so that a flood of one party's most urgent work cannot take
 * the other's share; between parties on the same side of their share the more urgent
 * class comes first, then the party that uses least of its share. What a party uses is
 * counted for the class at hand and more urgent ones only: its less urgent work, which
 * may have been lent slots, does not hold back its urgent work. Slots that a party leaves
 * unused are thereby lent, and return within one task's length.
 * <p>
 * A class with a floor earns a fraction of each start while more urgent work is preferred
 * to it, and once it has earned a whole start it goes first.
 * <p>
 * Example: party A (share 0.6) has 3 of 10 slots and waiting work of urgency 1, party B
 * (share 0.4) has 7 of 10 and waiting work of urgency 0: A is next.
 * <p>
 * Invariant: a job is in the queue exactly while it has waiting tasks and is not set
 * aside by its taker. Used on the control thread only.
 */
final class FairQueue {

	private final Map<String, PartyQueue> parties = new LinkedHashMap<>();

	private final Map<String, Double> earned = new HashMap<>();

	private int tasks;

	private int jobs;

	void add(JobRecord j) {
		line(j).addLast(j);
		count(j, 1);
	}

	void restore(JobRecord j) {
		line(j).addFirst(j);
		count(j, 1);
	}

	void remove(JobRecord j) {
		if (line(j).remove(j)) {
			count(j, -1);
		}
	}

	private Deque<JobRecord> line(JobRecord j) {
		return this.parties.computeIfAbsent(j.party(), PartyQueue::new).line(j.taskClass());
	}

	private void count(JobRecord j, int sign) {
		this.jobs += sign;
		this.tasks += sign * j.waitingTasks();
		PartyQueue p = this.parties.get(j.party());
		p.waiting += sign * j.waitingTasks();
		p.waitingByClass.merge(j.taskClass().name(), sign * j.waitingTasks(), Integer::sum);
	}

	/**
	 * Take the job whose task is to be placed next out of the queue.
	 * @param shares the share and the use of each party
	 * @return the job, or empty if nothing waits
	 */
	Optional<JobRecord> poll(ShareView shares) {
		Optional<JobRecord> byFloor = floorHead(shares);
		Optional<JobRecord> j = byFloor.isPresent() ? byFloor : head(shares, null);
		j.ifPresent(this::take);
		return j;
	}

	private void take(JobRecord j) {
		line(j).pollFirst();
		count(j, -1);
	}

	private Optional<JobRecord> floorHead(ShareView shares) {
		for (Map.Entry<String, Double> e : this.earned.entrySet()) {
			if (e.getValue() >= 1) {
				Optional<JobRecord> j = head(shares, e.getKey());
				if (j.isPresent()) {
					return j;
				}
				e.setValue(0.0);
			}
		}
		return Optional.empty();
	}

	private Optional<JobRecord> head(ShareView shares, String onlyClass) {
		JobRecord best = null;
		double bestUse = 0;
		for (PartyQueue p : this.parties.values()) {
			JobRecord j = p.head(onlyClass);
			if (j != null) {
				double use = shares.useOfShare(p.party, j.taskClass().urgency());
				if (best == null || before(j, use, best, bestUse)) {
					best = j;
					bestUse = use;
				}
			}
		}
		return Optional.ofNullable(best);
	}

	private static boolean before(JobRecord a, double useA, JobRecord b, double useB) {
		boolean overA = useA >= 1;
		boolean overB = useB >= 1;
		if (overA != overB) {
			return overB;
		}
		int urgencyA = a.taskClass().urgency();
		int urgencyB = b.taskClass().urgency();
		return (urgencyA != urgencyB) ? urgencyA < urgencyB : useA < useB;
	}

	/**
	 * Note that a task was started, for the floors of the classes that were passed over.
	 * @param started the class of the started task
	 * @param classes all classes
	 */
	void started(TaskClass started, List<TaskClass> classes) {
		this.earned.computeIfPresent(started.name(), (c, e) -> Math.max(0, e - 1));
		for (TaskClass c : classes) {
			if (c.floor() > 0 && c.urgency() > started.urgency() && waitingOfClass(c.name()) > 0) {
				this.earned.merge(c.name(), c.floor(), (a, b) -> Math.min(2, a + b));
			}
		}
	}

	private int waitingOfClass(String taskClass) {
		int n = 0;
		for (PartyQueue p : this.parties.values()) {
			n += p.waitingByClass.getOrDefault(taskClass, 0);
		}
		return n;
	}

	int tasks() {
		return this.tasks;
	}

	int jobs() {
		return this.jobs;
	}

	int waiting(String party) {
		PartyQueue p = this.parties.get(party);
		return (p != null) ? p.waiting : 0;
	}

	/**
	 * Count the waiting tasks of a party that go before a class.
	 * @param party the party
	 * @param urgency the urgency of the class
	 * @return tasks of that urgency and of more urgent classes
	 */
	int waitingAhead(String party, int urgency) {
		PartyQueue p = this.parties.get(party);
		return (p != null) ? p.waitingAhead(urgency) : 0;
	}

	/** Tells how much of its agreed share each party uses now. */
	interface ShareView {

		/**
		 * Return the slots used over the slots agreed.
		 * @param party the party
		 * @param urgency count the classes of this urgency and more urgent ones only
		 * @return 1 or more for a party at or above its share
		 */
		double useOfShare(String party, int urgency);

	}

	/** The waiting jobs of one party, by class. */
	private static final class PartyQueue {

		private final String party;

		private final Map<TaskClass, Deque<JobRecord>> lines = new TreeMap<>(
				Comparator.comparingInt(TaskClass::urgency).thenComparing(TaskClass::name));

		private final Map<String, Integer> waitingByClass = new HashMap<>();

		private int waiting;

		private PartyQueue(String party) {
			this.party = party;
		}

		private Deque<JobRecord> line(TaskClass c) {
			return this.lines.computeIfAbsent(c, (k) -> new ArrayDeque<>());
		}

		private JobRecord head(String onlyClass) {
			for (Map.Entry<TaskClass, Deque<JobRecord>> e : this.lines.entrySet()) {
				boolean wanted = onlyClass == null || e.getKey().name().equals(onlyClass);
				if (wanted && !e.getValue().isEmpty()) {
					return e.getValue().peekFirst();
				}
			}
			return null;
		}

		private int waitingAhead(int urgency) {
			int n = 0;
			for (Map.Entry<TaskClass, Deque<JobRecord>> e : this.lines.entrySet()) {
				if (e.getKey().urgency() <= urgency && !e.getValue().isEmpty()) {
					n += this.waitingByClass.getOrDefault(e.getKey().name(), 0);
				}
			}
			return n;
		}

	}

}
