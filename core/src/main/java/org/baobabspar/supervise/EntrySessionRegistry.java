package org.baobabspar.supervise;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

import org.baobabspar.fleet.EndpointStatus;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.baobabspar.message.EntryWelcome;
import org.baobabspar.message.LeaseGrant;
import org.baobabspar.message.LeaseRequest;
import org.baobabspar.message.RunEnded;

/**
 * The sessions of the entries whose runs an agent supervises, with their links and
 * leases. Each entry gets the endpoint's status with every lease request, and sooner when
 * the status has changed: at once with the end of one of its own runs and when the
 * endpoint's state changes, and otherwise at most once in
 * {@value #STATUS_INTERVAL_MILLIS} ms.
 * <p>
 * Invariant: a link belongs to at most one session. Used on the control thread only.
 */
final class EntrySessionRegistry {

	/** Interval between the lease requests on a link while runs are present. */
	static final long REQUEST_INTERVAL_MILLIS = 100;

	/**
	 * Interval between the lease requests on a link while no runs are present. The lease
	 * then serves only to start the next run without delay, and still outlives a request
	 * that is 150 ms late.
	 */
	static final long IDLE_REQUEST_INTERVAL_MILLIS = 190;

	/**
	 * Interval between updates of the room. A task takes a few times longer, and the
	 * entry whose run has ended is told at once.
	 */
	static final long STATUS_INTERVAL_MILLIS = 40;

	/**
	 * How long after its lease the session of an unlinked entry without runs is kept.
	 */
	private static final long RETENTION_MILLIS = 60_000;

	private final Map<String, EntrySession> byIncarnation = new HashMap<>();

	private final Map<String, EntrySession> byLink = new HashMap<>();

	/** Requests that were sent until this time are void. */
	private long lapsedUntilMillis = Long.MIN_VALUE;

	private final SupervisorOutbox outbox;

	private final Consumer<String> log;

	EntrySessionRegistry(SupervisorOutbox outbox, Consumer<String> log) {
		this.outbox = outbox;
		this.log = log;
	}

	Optional<EntrySession> find(String link) {
		return Optional.ofNullable(this.byLink.get(link));
	}

	/**
	 * Returns the links of all entries.
	 * @return the links
	 */
	Set<String> links() {
		return Set.copyOf(this.byLink.keySet());
	}

	/**
	 * Returns the links of all entries but one.
	 * @param link the link to leave out
	 * @return the links
	 */
	List<String> linksExcept(String link) {
		return this.byLink.keySet().stream().filter((other) -> !other.equals(link)).toList();
	}

	Collection<EntrySession> linked() {
		return this.byLink.values();
	}

	Collection<EntrySession> all() {
		return this.byIncarnation.values();
	}

	/**
	 * Returns whether an entry has lost its link so recently that its runs may be present
	 * anywhere in the fleet.
	 * @param nowMillis the current time
	 * @return whether the lease of an unlinked entry has not been over for long enough
	 */
	boolean hasLostRecently(long nowMillis) {
		return all().stream()
			.anyMatch((session) -> !session.linked && nowMillis < session.leaseUntilMillis + LeaseTimes.LOSS_MILLIS);
	}

	EntrySession bind(String link, EntryWelcome welcome) {
		EntrySession welcomed = new EntrySession(welcome.entry(), welcome.incarnation());
		EntrySession session = this.byIncarnation.computeIfAbsent(welcomed.incarnationName(), (name) -> welcomed);
		if (session.link != null) {
			this.byLink.remove(session.link);
		}
		session.link = link;
		session.linked = true;
		session.retiring = false;
		session.lastStartSequence = 0;
		this.byLink.put(link, session);
		this.log.accept("entry=" + welcome.entry() + " incarnation=" + welcome.incarnation() + " state=linked");
		return session;
	}

	void unbind(String link) {
		EntrySession session = this.byLink.remove(link);
		if (session != null && link.equals(session.link)) {
			session.linked = false;
			this.log.accept("entry=" + session.entry + " state=unlinked");
		}
	}

	void extendLease(String link, LeaseGrant grant) {
		EntrySession session = this.byLink.get(link);
		if (session == null) {
			return;
		}
		if (!hasLapsed(grant.sentMillis())) {
			session.leaseUntilMillis = Math.max(session.leaseUntilMillis,
					grant.sentMillis() + LeaseTimes.ENTRY_LEASE_MILLIS);
		}
		session.entryClockMillis = grant.clockMillis();
		session.confirmEnds(grant.endsSeen());
	}

	/**
	 * Lets all leases lapse. Grants of requests that were sent before count no more.
	 * @param nowMillis the current time
	 */
	void lapseLeases(long nowMillis) {
		this.lapsedUntilMillis = nowMillis;
		all().forEach((session) -> session.leaseUntilMillis = Math.min(session.leaseUntilMillis, nowMillis));
	}

	/**
	 * Returns whether a request was sent before all leases lapsed.
	 * @param requestMillis when the request was sent
	 * @return whether nothing that was granted or ordered in answer to it counts
	 */
	boolean hasLapsed(long requestMillis) {
		return requestMillis <= this.lapsedUntilMillis;
	}

	/**
	 * Reports the end of a run, or that it never began, to its owner.
	 * @param owner session of the entry that ordered the run
	 * @param run the run
	 * @param end how it ended
	 * @param ranMillis how long it ran
	 */
	void reportEnd(EntrySession owner, RunKey run, RunEnd end, long ranMillis) {
		RunEnded ended = owner.recordEnd(run, end, ranMillis);
		owner.statusUrgent = true;
		if (owner.linked) {
			this.outbox.send(owner.link, ended);
		}
	}

	/**
	 * Marks a change of the room, which is sent with the next status update.
	 */
	void markRoomChanged() {
		all().forEach((session) -> session.statusDue = true);
	}

	/**
	 * Marks a change of the endpoint's state, which is sent at once because it decides
	 * whether runs are refused.
	 */
	void markStateChanged() {
		all().forEach((session) -> session.statusUrgent = true);
	}

	/**
	 * Sends the lease requests that are due.
	 * @param status returns the endpoint's status for a session
	 * @param idle whether no runs are present
	 * @param nowMillis the current time
	 */
	void sendDueRequests(Function<EntrySession, EndpointStatus> status, boolean idle, long nowMillis) {
		long intervalMillis = idle ? IDLE_REQUEST_INTERVAL_MILLIS : REQUEST_INTERVAL_MILLIS;
		for (EntrySession session : all()) {
			long sinceRequestMillis = nowMillis - session.lastRequestMillis;
			boolean due = session.statusUrgent || (session.statusDue && sinceRequestMillis >= STATUS_INTERVAL_MILLIS)
					|| sinceRequestMillis >= intervalMillis;
			if (session.linked && due) {
				requestLease(session, status.apply(session), nowMillis);
			}
		}
	}

	void requestLease(EntrySession session, EndpointStatus status, long nowMillis) {
		session.lastRequestMillis = nowMillis;
		session.statusDue = false;
		session.statusUrgent = false;
		this.outbox.send(session.link, new LeaseRequest(nowMillis, status, session.entryClockMillis));
	}

	/**
	 * Removes the sessions of entries that have been gone for the retention time.
	 * @param hasRuns returns whether an entry has runs
	 * @param nowMillis the current time
	 * @return the sessions that were removed
	 */
	List<EntrySession> removeExpired(Predicate<EntrySession> hasRuns, long nowMillis) {
		List<EntrySession> expired = all().stream()
			.filter((session) -> !session.linked && nowMillis - session.leaseUntilMillis > RETENTION_MILLIS
					&& !hasRuns.test(session))
			.toList();
		all().removeAll(expired);
		return expired;
	}

}
