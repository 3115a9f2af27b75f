package org.baobabspar.supervise;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

import org.baobabspar.fleet.Resources;
import org.baobabspar.fleet.RunKey;
import org.baobabspar.message.RunStart;

/**
 * Starts that wait at an agent for room. Several entries place runs on the same endpoint
 * and learn of its free room some milliseconds late, so under load their starts collide.
 * Runs end every few milliseconds then, and a start that waits for the next end begins
 * sooner than one that is refused and sent to another endpoint, which is as full.
 * Example: two entries see one free core and each sends a start. The second start waits 8
 * ms for the end of another run.
 * <p>
 * Invariants: a waiting start has not been sent to the endpoint, so refusing it is true;
 * starts begin in the order of their arrival; a start waits for at most
 * {@value #MAX_WAIT_MILLIS} ms and the next event after that. Used on the control thread
 * only.
 */
final class StartQueue {

	/**
	 * Short compared with the tasks; a longer wait would use up the slack of short jobs.
	 */
	static final long MAX_WAIT_MILLIS = 25;

	/** Runs that can be expected to end within the wait. */
	static final int MAX_STARTS = 4;

	private final Deque<WaitingStart> starts = new ArrayDeque<>();

	/**
	 * Adds a start, unless the queue is full.
	 * @param start the start
	 * @return whether the start waits
	 */
	boolean offer(WaitingStart start) {
		return this.starts.size() < MAX_STARTS && this.starts.offer(start);
	}

	boolean isEmpty() {
		return this.starts.isEmpty();
	}

	/**
	 * Returns the start that is next, without removing it.
	 * @return the start; the queue must not be empty
	 */
	WaitingStart first() {
		return this.starts.element();
	}

	void removeFirst() {
		this.starts.remove();
	}

	boolean contains(Predicate<WaitingStart> condition) {
		return this.starts.stream().anyMatch(condition);
	}

	/**
	 * Removes starts that will not begin any more.
	 * @param condition selects the starts
	 * @return the starts that were removed
	 */
	List<WaitingStart> remove(Predicate<WaitingStart> condition) {
		List<WaitingStart> removed = new ArrayList<>();
		this.starts.removeIf((start) -> condition.test(start) && removed.add(start));
		return removed;
	}

	/**
	 * Returns the room that the waiting starts will take.
	 * @return the sum of their rooms
	 */
	Resources room() {
		Resources room = Resources.NONE;
		for (WaitingStart start : this.starts) {
			room = room.plus(start.order.resources());
		}
		return room;
	}

	/**
	 * A start that waits for room.
	 *
	 * @param owner session of the entry that ordered the start
	 * @param order the order
	 * @param arrivedMillis when the order arrived
	 */
	record WaitingStart(EntrySession owner, RunStart order, long arrivedMillis) {

		RunKey run() {
			return this.order.run();
		}

		boolean expired(long nowMillis) {
			return nowMillis - this.arrivedMillis >= MAX_WAIT_MILLIS;
		}

	}

}
