package org.baobabspar.dispatch;

import java.util.OptionalLong;
import java.util.Set;

import org.baobabspar.fleet.SuspensionDetector;
import org.baobabspar.fleet.TimeOfDayGain;
import org.baobabspar.message.LeaseRequest;

/**
 * Decides whether the VM of an entry was suspended. Callers may have turned to another
 * entry meanwhile, and the monotonic clock shows nothing of it. The clocks of agents
 * prove it, but their first messages may arrive after requests that have waited in a
 * buffer. A gain of the time of day therefore raises a doubt, during which nothing is
 * placed. The doubt ends when an agent that was observed before it has answered a message
 * sent after it; an earlier message may prove a part of the suspension only.
 * <p>
 * Invariants: a step of the time of day counts as a suspension only if no agent can tell
 * for {@value #MAX_DOUBT_MILLIS} ms; a suspension counts once. Not thread-safe; used on
 * the control thread only.
 */
final class SuspensionReview {

	/**
	 * Shortest suspension that counts. Callers turn to another entry after a longer one;
	 * the bounds from lease requests are up to 200 ms apart.
	 */
	private static final long MIN_SUSPENSION_MILLIS = 200;

	private static final long SUSPENSION_WINDOW_MILLIS = 10_000;

	/** Agents request their lease several times within this time. */
	static final long MAX_DOUBT_MILLIS = 500;

	private final SuspensionDetector detector = new SuspensionDetector(MIN_SUSPENSION_MILLIS, SUSPENSION_WINDOW_MILLIS);

	private final SuspensionHistory history = new SuspensionHistory();

	private final TimeOfDayGain timeOfDay = new TimeOfDayGain(MIN_SUSPENSION_MILLIS);

	private boolean doubtful;

	private long doubtSinceMillis;

	/** The agents that were observed when the doubt arose. */
	private Set<String> witnesses = Set.of();

	/** How long the suspension was if there was one. */
	private long doubtfulMillis;

	/**
	 * Handles a reading of the time of day.
	 * @param timeOfDayMillis the time of day
	 * @param nowMillis the monotonic clock
	 * @return whether a doubt arises
	 */
	boolean observeTimeOfDay(long timeOfDayMillis, long nowMillis) {
		OptionalLong gainMillis = this.timeOfDay.observe(timeOfDayMillis, nowMillis);
		gainMillis.ifPresent((millis) -> {
			if (!this.doubtful) {
				this.doubtful = true;
				this.doubtfulMillis = 0;
				this.witnesses = this.detector.observedPeers();
			}
			this.doubtfulMillis += millis;
			this.doubtSinceMillis = nowMillis;
		});
		return gainMillis.isPresent();
	}

	/**
	 * Handles an agent's reading of its clock.
	 * @param agent the incarnation of the agent
	 * @param request carries the reading
	 * @param nowMillis the current time
	 * @return for how long this VM was suspended, empty if that is not proved
	 */
	OptionalLong observeAgent(String agent, LeaseRequest request, long nowMillis) {
		OptionalLong lostMillis = this.detector.observe(agent, request.entryClockMillis(), request.sentMillis(),
				nowMillis);
		lostMillis.ifPresent((millis) -> this.history.add(millis, nowMillis));
		if (this.witnesses.contains(agent) && request.entryClockMillis() > this.doubtSinceMillis) {
			this.doubtful = false;
		}
		return lostMillis;
	}

	/**
	 * Ends a doubt about which no agent can tell.
	 * @param nowMillis the current time
	 * @return for how long this VM counts as suspended, empty if there is no such doubt
	 */
	OptionalLong resolveOldDoubt(long nowMillis) {
		if (!this.doubtful || nowMillis - this.doubtSinceMillis <= MAX_DOUBT_MILLIS) {
			return OptionalLong.empty();
		}
		this.doubtful = false;
		this.history.add(this.doubtfulMillis, nowMillis);
		return OptionalLong.of(this.doubtfulMillis);
	}

	boolean doubtful() {
		return this.doubtful;
	}

	long lostMillisSince(long earliestMillis) {
		return this.history.lostMillisSince(earliestMillis);
	}

	void forget(String agent) {
		this.detector.forget(agent);
	}

}
