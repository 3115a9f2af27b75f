package org.baobabspar.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.baobabspar.fleet.EndpointState;
import org.baobabspar.fleet.EndpointStatus;
import org.baobabspar.fleet.Resources;
import org.baobabspar.fleet.RunKey;

/**
 * The state of one incarnation of an agent, as known to an entry.
 * <p>
 * The free room of the endpoint is the room that the agent last reported, less the room
 * of the starts that this entry sent and the report does not include yet. Example: the
 * agent reports 6 free cores after start 7. Starts 8 and 9 took 3 cores each, so nothing
 * is free until the next report.
 * <p>
 * Not thread-safe; used on the control thread only.
 */
final class AgentView {

	/** An agent that has been silent for this long gets no new runs. */
	static final long MAX_SILENCE_MILLIS = 260;

	/**
	 * Minimum time between two lease grants. Agents request the lease at least every 100
	 * ms and send further requests when their free room changes; granting each of those
	 * is not necessary.
	 */
	private static final long MIN_GRANT_INTERVAL_MILLIS = 90;

	final String name;

	final long incarnation;

	final String domain;

	/** Tasks dispatched to the agent whose run is not known to have ended, by name. */
	final Map<String, DispatchedTask> outstandingTasks = new HashMap<>();

	String link;

	/**
	 * Number of the current link. An agent opens a link only after it has closed the
	 * previous one, so a lower number belongs to an older link.
	 */
	long linkNumber;

	EndpointStatus status;

	/** Time of the last hello or lease request. */
	long lastHeardMillis;

	/** The agent's clock as of its last lease request. */
	long agentClockMillis;

	long lastGrantMillis;

	long lastStartSequence;

	/** Highest sequence number of a run end that was received from the agent. */
	long lastEndSequence;

	/**
	 * Runs that the agent listed in the hello of a new link, {@code null} once they are
	 * reconciled. Nothing is dispatched before that, since the new run would not be in
	 * the list and would look like a lost start.
	 */
	Set<RunKey> listedRuns;

	private final Deque<SentStart> unreportedStarts = new ArrayDeque<>();

	private Resources unreportedRoom = Resources.NONE;

	AgentView(String name, long incarnation, String domain) {
		this.name = name;
		this.incarnation = incarnation;
		this.domain = domain;
	}

	/**
	 * Returns a name that no other incarnation of an agent has.
	 * @return the name
	 */
	String incarnationName() {
		return this.name + "@" + this.incarnation;
	}

	void attachLink(String newLink, EndpointStatus newStatus, Iterable<RunKey> runs, long nowMillis) {
		this.link = newLink;
		this.status = newStatus;
		this.lastHeardMillis = nowMillis;
		this.lastGrantMillis = nowMillis - MIN_GRANT_INTERVAL_MILLIS;
		this.lastStartSequence = 0;
		this.unreportedStarts.clear();
		this.unreportedRoom = Resources.NONE;
		this.listedRuns = new HashSet<>();
		runs.forEach(this.listedRuns::add);
	}

	void updateStatus(EndpointStatus newStatus, long nowMillis) {
		this.status = newStatus;
		this.lastHeardMillis = nowMillis;
		while (!this.unreportedStarts.isEmpty()
				&& this.unreportedStarts.peek().sequence <= newStatus.lastStartSequence()) {
			this.unreportedRoom = this.unreportedRoom.minus(this.unreportedStarts.remove().room);
		}
	}

	/**
	 * Adds a task to the outstanding ones and reserves its room.
	 * @param task the task that is dispatched
	 * @return the sequence number of the start
	 */
	long addStart(DispatchedTask task) {
		this.outstandingTasks.put(task.name, task);
		this.lastStartSequence++;
		this.unreportedStarts.add(new SentStart(this.lastStartSequence, task.step.resources()));
		this.unreportedRoom = this.unreportedRoom.plus(task.step.resources());
		return this.lastStartSequence;
	}

	/**
	 * Decides whether a lease request is granted, and remembers the time of the grant.
	 * @param nowMillis the current time
	 * @return whether the last grant is old enough
	 */
	boolean tryGrant(long nowMillis) {
		if (nowMillis - this.lastGrantMillis < MIN_GRANT_INTERVAL_MILLIS) {
			return false;
		}
		this.lastGrantMillis = nowMillis;
		return true;
	}

	Resources free() {
		return this.status.free().minus(this.unreportedRoom);
	}

	/**
	 * Returns the room that this entry may use, which is less than the free room while
	 * others compete for it.
	 * @return the room
	 */
	Resources lent() {
		return this.status.lent().minus(this.unreportedRoom);
	}

	boolean usable(long nowMillis) {
		return this.link != null && this.listedRuns == null && this.status.state() == EndpointState.READY
				&& nowMillis - this.lastHeardMillis < MAX_SILENCE_MILLIS;
	}

	private record SentStart(long sequence, Resources room) {
	}

}
