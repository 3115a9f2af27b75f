package org.baobabspar.agent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The tasks that an agent holds: those that run in a slot of the endpoint and those that
 * wait for one.
 * <p>
 * Invariant: no more tasks run than there are slots, and a task waits only while all
 * slots are taken. Used on the control thread only.
 */
final class SlotTable {

	private final int slots;

	private final int prefetch;

	private final Deque<LedgerTask> waiting = new ArrayDeque<>();

	private final Map<String, LedgerTask> running = new LinkedHashMap<>();

	SlotTable(int slots, int prefetch) {
		this.slots = slots;
		this.prefetch = prefetch;
	}

	int slots() {
		return this.slots;
	}

	void add(LedgerTask t) {
		this.waiting.add(t);
	}

	/**
	 * Give the next waiting task a slot.
	 * @return the task, or empty if none waits or no slot is free
	 */
	Optional<LedgerTask> takeSlot() {
		if (this.waiting.isEmpty() || !slotFree()) {
			return Optional.empty();
		}
		LedgerTask t = this.waiting.poll();
		this.running.put(key(t.jobId(), t.index()), t);
		return Optional.of(t);
	}

	/**
	 * Free the slot of a task.
	 * @param jobId the job
	 * @param index the task
	 * @return the task, or empty if it does not run here
	 */
	Optional<LedgerTask> freeSlot(String jobId, int index) {
		return Optional.ofNullable(this.running.remove(key(jobId, index)));
	}

	private static String key(String jobId, int index) {
		return jobId + "#" + index;
	}

	/**
	 * Take the waiting tasks of a job out.
	 * @param jobId the job
	 * @return the tasks
	 */
	List<LedgerTask> withdraw(String jobId) {
		List<LedgerTask> r = this.waiting.stream().filter((t) -> t.jobId().equals(jobId)).toList();
		this.waiting.removeAll(r);
		return r;
	}

	boolean slotFree() {
		return this.running.size() < this.slots;
	}

	boolean empty() {
		return size() == 0;
	}

	int size() {
		return this.running.size() + this.waiting.size();
	}

	/**
	 * Count the places left, those to wait in included.
	 * @return tasks
	 */
	int room() {
		return Math.max(0, this.slots + this.prefetch - size());
	}

	int running() {
		return this.running.size();
	}

	int waiting() {
		return this.waiting.size();
	}

	Collection<LedgerTask> runningTasks() {
		return this.running.values();
	}

	private int ownedBy(String entryRef) {
		int n = 0;
		for (LedgerTask t : this.running.values()) {
			n += t.ownerRef().equals(entryRef) ? 1 : 0;
		}
		for (LedgerTask t : this.waiting) {
			n += t.ownerRef().equals(entryRef) ? 1 : 0;
		}
		return n;
	}

	int tasksOf(EntryLink l) {
		return ownedBy(l.entryRef());
	}

	/**
	 * Decide how many tasks an entry may have here: its fair part by demand, or what the
	 * other entries do not use, as long as there is room. Tasks of entries that have gone
	 * silent still take slots.
	 * @param l the entry
	 * @param active the entries that were heard from lately, the one in question included
	 * @return tasks
	 */
	int limit(EntryLink l, List<EntryLink> active) {
		List<Integer> owned = new ArrayList<>();
		active.forEach((a) -> owned.add(tasksOf(a)));
		int orphans = size() - owned.stream().mapToInt(Integer::intValue).sum();
		int[] demands = new int[active.size()];
		for (int i = 0; i < demands.length; i++) {
			demands[i] = Math.min(this.slots, owned.get(i) + active.get(i).backlog());
		}
		int at = active.indexOf(l);
		int fair = SlotAllotment.divide(Math.max(1, this.slots - orphans), demands)[at];
		int lent = this.slots - (size() - owned.get(at));
		return Math.min(Math.max(fair, lent), owned.get(at) + room());
	}

}
