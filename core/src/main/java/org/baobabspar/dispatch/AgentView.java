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
 * One lifetime of an agent, as an entry sees it. Its free room is what the agent last
 * said, less what this entry has ordered since. Example: the agent says 6 cores free
 * after order 7; orders 8 and 9 took 3 cores each, so nothing is free until it says more.
 * Used on the control thread only.
 */
final class AgentView {

	/** An agent that was not heard for so long gets no new runs. */
	static final long QUIET_MILLIS = 260;

	/** Agents ask at least once in 100 ms, and more often with news of their room. */
	private static final long GRANT_MILLIS = 90;

	final String name;

	final long incarnation;

	final String domain;

	/** Runs ordered from it whose end is not known, by task. */
	final Map<String, PlacedTask> ordered = new HashMap<>();

	String link;

	/** Number of the link; an agent opens a link only after it has closed the last. */
	long linkNumber;

	EndpointStatus status;

	long heardMillis;

	long agentClockMillis;

	/** When its lease was last granted; more often than it asks for it is needless. */
	long grantedMillis;

	long lastSequence;

	long endsSeen;

	/**
	 * Runs that the agent listed on a new link, until they are compared; nothing is
	 * ordered before that, since it would look like an order that was lost.
	 */
	Set<RunKey> listed;

	private final Deque<SentRoom> sent = new ArrayDeque<>();

	private Resources unseen = Resources.NONE;

	AgentView(String name, long incarnation, String domain) {
		this.name = name;
		this.incarnation = incarnation;
		this.domain = domain;
	}

	void linked(String newLink, EndpointStatus s, Iterable<RunKey> runs, long nowMillis) {
		this.link = newLink;
		this.status = s;
		this.heardMillis = nowMillis;
		this.grantedMillis = nowMillis - GRANT_MILLIS;
		this.lastSequence = 0;
		this.sent.clear();
		this.unseen = Resources.NONE;
		this.listed = new HashSet<>();
		runs.forEach(this.listed::add);
	}

	void heard(EndpointStatus s, long nowMillis) {
		this.status = s;
		this.heardMillis = nowMillis;
		while (!this.sent.isEmpty() && this.sent.peek().sequence <= s.lastStartSequence()) {
			this.unseen = this.unseen.minus(this.sent.remove().room);
		}
	}

	long order(PlacedTask t) {
		this.ordered.put(t.name, t);
		this.lastSequence++;
		this.sent.add(new SentRoom(this.lastSequence, t.spec.resources()));
		this.unseen = this.unseen.plus(t.spec.resources());
		return this.lastSequence;
	}

	/**
	 * Tell whether the agent gets a grant for its request.
	 * @param nowMillis the time
	 * @return whether the last one is old enough
	 */
	boolean grant(long nowMillis) {
		if (nowMillis - this.grantedMillis < GRANT_MILLIS) {
			return false;
		}
		this.grantedMillis = nowMillis;
		return true;
	}

	Resources free() {
		return this.status.free().minus(this.unseen);
	}

	boolean usable(long nowMillis) {
		return this.link != null && this.listed == null && this.status.state() == EndpointState.READY
				&& nowMillis - this.heardMillis < QUIET_MILLIS;
	}

	private record SentRoom(long sequence, Resources room) {
	}

}
