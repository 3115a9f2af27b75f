package org.baobabspar.supervise;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Decides how far an agent extends the lease of its endpoint. The lease keeps everything
 * at the endpoint alive, so it also keeps a run that should have ended but whose stop is
 * not carried out.
 * <p>
 * Invariant: the lease is never extended past the time by which the owner of any run that
 * may be present may start its task elsewhere. For this a lease is counted from the
 * decision or from the earliest {@link SupervisedRun#mustEndMillis()}, whichever is
 * earlier; see {@link LeaseTimes} for the inequality. While orphaned runs may be present
 * it isn't extended at all, since the lease of their owner isn't known. Each decision
 * looks at all runs itself, so it depends neither on the last tick nor on the order of
 * events.
 * <p>
 * Example: a run must end at 1000 and its stop gets no answer. Until 1700 the endpoint
 * keeps the runs of other entries; if the end is listed before, they lose nothing.
 * <p>
 * Used on the control thread only.
 */
final class LeaseRenewals {

	/**
	 * How long a run may be overdue before the endpoint gets no new runs: a tick, and the
	 * time of a stop that is carried out at once.
	 */
	private static final long MAX_OVERDUE_MILLIS = LeaseTimes.TICK_MILLIS + LeaseTimes.MAX_STOP_MILLIS;

	private final Collection<SupervisedRun> runs;

	private final OrphanedRuns orphanedRuns;

	private final Consumer<String> log;

	private long lastFromMillis;

	private boolean startsPrevented;

	/**
	 * The overdue run in the last line of the log, empty if renewals are not withheld.
	 */
	private String withheldFor = "";

	private long withheldSinceMillis;

	/**
	 * Creates the renewals of an endpoint's lease.
	 * @param runs a view of all runs that may be present and have an owner
	 * @param orphanedRuns the runs that have none
	 * @param log takes lines for the log
	 */
	LeaseRenewals(Collection<SupervisedRun> runs, OrphanedRuns orphanedRuns, Consumer<String> log) {
		this.runs = runs;
		this.orphanedRuns = orphanedRuns;
		this.log = log;
	}

	/**
	 * Decides on the lease that a call to the endpoint sets.
	 * @param endpointId the endpoint, for the log
	 * @param nowMillis the current time
	 * @return the lease, empty if the endpoint's lease must not be extended
	 */
	EndpointLease extend(String endpointId, long nowMillis) {
		Optional<String> orphaned = this.orphanedRuns.example();
		if (orphaned.isPresent()) {
			logWithheld(endpointId, orphaned.get(), "unknown overdue_ms=unknown", nowMillis);
			return EndpointLease.NONE;
		}
		Optional<SupervisedRun> overdue = mostOverdue(nowMillis);
		overdue.ifPresent((run) -> logWithheld(endpointId, run.key.task() + "#" + run.key.number(),
				run.owner.entry + " overdue_ms=" + (nowMillis - run.mustEndMillis()), nowMillis));
		long fromMillis = overdue.map(SupervisedRun::mustEndMillis).orElse(nowMillis);
		EndpointLease lease = EndpointLease.startingAt(fromMillis);
		if (lease.untilMillis() <= nowMillis) {
			return EndpointLease.NONE;
		}
		this.lastFromMillis = Math.max(this.lastFromMillis, fromMillis);
		return lease;
	}

	private Optional<SupervisedRun> mostOverdue(long nowMillis) {
		return this.runs.stream()
			.filter((run) -> run.mustEndMillis() <= nowMillis)
			.min(Comparator.comparingLong(SupervisedRun::mustEndMillis));
	}

	/**
	 * Returns whether the endpoint gets no new runs, since they would lapse together with
	 * a run that should have ended.
	 * @param nowMillis the current time
	 * @return whether starts are refused
	 */
	boolean preventStarts(long nowMillis) {
		return !this.orphanedRuns.isEmpty() || mostOverdue(nowMillis - MAX_OVERDUE_MILLIS).isPresent();
	}

	/**
	 * Logs when renewals resume. Called periodically.
	 * @param endpointId the endpoint, for the log
	 * @param nowMillis the current time
	 * @return whether starts are prevented now and were not before, or the reverse
	 */
	boolean review(String endpointId, long nowMillis) {
		if (!this.withheldFor.isEmpty() && this.orphanedRuns.isEmpty() && mostOverdue(nowMillis).isEmpty()) {
			this.log.accept("renewal=resumed endpoint=" + endpointId + " withheld_ms="
					+ (nowMillis - this.withheldSinceMillis));
			this.withheldFor = "";
		}
		boolean before = this.startsPrevented;
		this.startsPrevented = preventStarts(nowMillis);
		return this.startsPrevented != before;
	}

	/**
	 * Logs one line for each run for which renewals are withheld.
	 * @param endpointId the endpoint
	 * @param run name of the run
	 * @param owner its entry and how long it is overdue
	 * @param nowMillis the current time
	 */
	private void logWithheld(String endpointId, String run, String owner, long nowMillis) {
		if (this.withheldFor.equals(run)) {
			return;
		}
		if (this.withheldFor.isEmpty()) {
			this.withheldSinceMillis = nowMillis;
		}
		this.withheldFor = run;
		this.log.accept("renewal=withheld endpoint=" + endpointId + " run=" + run + " entry=" + owner
				+ " lease_left_ms=" + (EndpointLease.startingAt(this.lastFromMillis).untilMillis() - nowMillis));
	}

	/**
	 * Returns whether the lease has certainly ended all runs at the endpoint.
	 * @param nowMillis the current time
	 * @return whether the last renewal was long enough ago
	 */
	boolean hasExpired(long nowMillis) {
		return nowMillis - this.lastFromMillis > LeaseTimes.ENDPOINT_EXPIRY_MILLIS;
	}

}
