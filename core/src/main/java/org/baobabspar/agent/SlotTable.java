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
 * The tasks at an agent: those that occupy a slot of the endpoint and those that wait for
 * one.
 * <p>
 * Invariant: at most as many tasks run as there are slots, and a task waits only while
 * all slots are occupied. Not thread-safe: used on the control thread only.
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

	void enqueue(LedgerTask task) {
		this.waiting.add(task);
	}

	/**
	 * Assigns a free slot to the next waiting task.
	 * @return the task, or empty if no task waits or no slot is free
	 */
	Optional<LedgerTask> takeSlot() {
		if (this.waiting.isEmpty() || !hasFreeSlot()) {
			return Optional.empty();
		}
		LedgerTask task = this.waiting.poll();
		this.running.put(key(task.jobId(), task.index()), task);
		return Optional.of(task);
	}

	/**
	 * Frees the slot of a task.
	 * @param jobId the job
	 * @param index the index of the task within the job
	 * @return the task, or empty if it does not occupy a slot
	 */
	Optional<LedgerTask> freeSlot(String jobId, int index) {
		return Optional.ofNullable(this.running.remove(key(jobId, index)));
	}

	private static String key(String jobId, int index) {
		return jobId + "#" + index;
	}

	/**
	 * Removes the waiting tasks of a job.
	 * @param jobId the job
	 * @return the removed tasks
	 */
	List<LedgerTask> removeWaiting(String jobId) {
		List<LedgerTask> removed = this.waiting.stream().filter((t) -> t.jobId().equals(jobId)).toList();
		this.waiting.removeAll(removed);
		return removed;
	}

	boolean hasFreeSlot() {
		return this.running.size() < this.slots;
	}

	boolean isEmpty() {
		return size() == 0;
	}

	int size() {
		return this.running.size() + this.waiting.size();
	}

	/**
	 * Returns the number of tasks that can still be accepted, including those that would
	 * wait for a slot.
	 * @return the number of tasks
	 */
	int remainingCapacity() {
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
		int count = 0;
		for (LedgerTask task : this.running.values()) {
			count += task.ownerRef().equals(entryRef) ? 1 : 0;
		}
		for (LedgerTask task : this.waiting) {
			count += task.ownerRef().equals(entryRef) ? 1 : 0;
		}
		return count;
	}

	int tasksOf(EntryLink link) {
		return ownedBy(link.entryRef());
	}

	/**
	 * Returns the maximum number of tasks that an entry may have at this agent: its fair
	 * share by demand, or the slots that other entries do not use if that is more, within
	 * the remaining capacity. Tasks orphaned by silent entries still occupy slots.
	 * @param link the link to the entry
	 * @param active the links to all recently active entries, including {@code link}
	 * @return the number of tasks
	 */
	int taskLimit(EntryLink link, List<EntryLink> active) {
		List<Integer> owned = new ArrayList<>();
		active.forEach((a) -> owned.add(tasksOf(a)));
		int orphaned = size() - owned.stream().mapToInt(Integer::intValue).sum();
		int[] demands = new int[active.size()];
		for (int i = 0; i < demands.length; i++) {
			demands[i] = Math.min(this.slots, owned.get(i) + active.get(i).backlog());
		}
		int position = active.indexOf(link);
		int fairShare = SlotAllocator.allocate(Math.max(1, this.slots - orphaned), demands)[position];
		int unused = this.slots - (size() - owned.get(position));
		return Math.min(Math.max(fairShare, unused), owned.get(position) + remainingCapacity());
	}

}
