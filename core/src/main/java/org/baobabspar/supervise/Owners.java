package org.baobabspar.supervise;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
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
 * The entries whose runs an agent supervises, their links and their leases. Each gets the
 * endpoint's status with every request for a lease, and sooner when it has changed: at
 * once with the end of one of its own runs and when the endpoint's state changes, and
 * otherwise once in {@value #STATUS_MILLIS} ms.
 * <p>
 * Invariant: a link belongs to at most one owner. Used on the control thread only.
 */
final class Owners {

	/** Time between two requests for the lease of a link. */
	static final long REQUEST_MILLIS = 100;

	/**
	 * The same while nothing runs: a lease serves only to take the next run at once, and
	 * still outlives a request that comes late by 150 ms.
	 */
	static final long IDLE_REQUEST_MILLIS = 190;

	/**
	 * Time between two updates of the room; a task takes a few times longer, and the
	 * entry whose run has ended knows at once.
	 */
	static final long STATUS_MILLIS = 40;

	/** After so long without a lease an entry that has no runs is forgotten. */
	private static final long FORGET_MILLIS = 60_000;

	private final Map<String, Owner> byLifetime = new HashMap<>();

	private final Map<String, Owner> byLink = new HashMap<>();

	private final SupervisorOutbox outbox;

	private final Consumer<String> log;

	Owners(SupervisorOutbox outbox, Consumer<String> log) {
		this.outbox = outbox;
		this.log = log;
	}

	Optional<Owner> of(String link) {
		return Optional.ofNullable(this.byLink.get(link));
	}

	Collection<Owner> all() {
		return this.byLifetime.values();
	}

	Owner welcomed(String link, EntryWelcome m) {
		Owner o = this.byLifetime.computeIfAbsent(m.entry() + "@" + m.incarnation(), (i) -> new Owner(m.entry()));
		if (o.link != null) {
			this.byLink.remove(o.link);
		}
		o.link = link;
		o.linked = true;
		o.retiring = false;
		o.lastStartSequence = 0;
		this.byLink.put(link, o);
		this.log.accept("entry=" + m.entry() + " incarnation=" + m.incarnation() + " state=linked");
		return o;
	}

	void unlinked(String link) {
		Owner o = this.byLink.remove(link);
		if (o != null && link.equals(o.link)) {
			o.linked = false;
			this.log.accept("entry=" + o.name + " state=unlinked");
		}
	}

	void granted(String link, LeaseGrant m) {
		Owner o = this.byLink.get(link);
		if (o != null) {
			o.leaseUntilMillis = Math.max(o.leaseUntilMillis, m.sentMillis() + LeaseTimes.ENTRY_LEASE_MILLIS);
			o.confirm(m.endsSeen());
		}
	}

	/**
	 * Report the end of a run, or that it never began.
	 * @param o its owner
	 * @param run the run
	 * @param end how it ended
	 * @param ranMillis how long it ran
	 */
	void end(Owner o, RunKey run, RunEnd end, long ranMillis) {
		RunEnded e = o.end(run, end, ranMillis);
		o.statusUrgent = true;
		if (o.linked) {
			this.outbox.send(o.link, e);
		}
	}

	/** The room has changed. */
	void roomChanged() {
		all().forEach((o) -> o.statusDue = true);
	}

	/** The state has changed, so that runs would be refused or are welcome again. */
	void stateChanged() {
		all().forEach((o) -> o.statusUrgent = true);
	}

	/**
	 * Send what is due.
	 * @param status the endpoint's status for an owner
	 * @param idle whether nothing runs
	 * @param nowMillis the time
	 */
	void flush(Function<Owner, EndpointStatus> status, boolean idle, long nowMillis) {
		long requestMillis = idle ? IDLE_REQUEST_MILLIS : REQUEST_MILLIS;
		for (Owner o : all()) {
			long since = nowMillis - o.lastRequestMillis;
			boolean due = o.statusUrgent || (o.statusDue && since >= STATUS_MILLIS) || since >= requestMillis;
			if (o.linked && due) {
				request(o, status.apply(o), nowMillis);
			}
		}
	}

	void request(Owner o, EndpointStatus status, long nowMillis) {
		o.lastRequestMillis = nowMillis;
		o.statusDue = false;
		o.statusUrgent = false;
		this.outbox.send(o.link, new LeaseRequest(nowMillis, status));
	}

	/**
	 * Forget entries that are long gone.
	 * @param busy tells whether an entry has runs
	 * @param nowMillis the time
	 */
	void forget(Predicate<Owner> busy, long nowMillis) {
		all().removeIf((o) -> !o.linked && nowMillis - o.leaseUntilMillis > FORGET_MILLIS && !busy.test(o));
	}

}
