package org.baobabspar.supervise;

import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import org.baobabspar.fleet.DrainGossip;
import org.baobabspar.fleet.EndpointState;
import org.baobabspar.fleet.Resources;
import org.baobabspar.message.RunStart;

/**
 * Decides whether an agent accepts an order to start a run. It is the last check before
 * the endpoint is called, so it does not trust what entries know.
 * <p>
 * Invariants: a run that is refused never begins; an accepted run fits into the room of
 * the endpoint and has no predecessor there. Not thread-safe; used on the control thread
 * only.
 */
final class StartGate {

	private final String domain;

	private final Map<String, SupervisedRun> runs;

	private final EntrySessionRegistry sessions;

	private final LeaseRenewals renewals;

	private final PossibleSuspension possibleSuspension;

	private final CancellationRelay cancellations;

	private final DrainGossip drains;

	/**
	 * Creates the gate of an agent.
	 * @param domain failure domain of the agent
	 * @param runs the runs that may be present, by task
	 * @param sessions the entries and their leases
	 * @param renewals the lease at the endpoint
	 * @param possibleSuspension whether this VM may have been suspended
	 * @param cancellations the cancelled jobs
	 * @param drains the drained failure domains
	 */
	StartGate(String domain, Map<String, SupervisedRun> runs, EntrySessionRegistry sessions, LeaseRenewals renewals,
			PossibleSuspension possibleSuspension, CancellationRelay cancellations, DrainGossip drains) {
		this.domain = domain;
		this.runs = runs;
		this.sessions = sessions;
		this.renewals = renewals;
		this.possibleSuspension = possibleSuspension;
		this.cancellations = cancellations;
		this.drains = drains;
	}

	/**
	 * Returns why an order is refused.
	 * @param owner the entry that orders the run
	 * @param order the order
	 * @param state state of the endpoint
	 * @param room returns the room that new runs may take, if the endpoint answers
	 * @param nowMillis the current time
	 * @return the reason, empty if the run may start
	 */
	Optional<String> refusalReason(EntrySession owner, RunStart order, EndpointState state, Supplier<Resources> room,
			long nowMillis) {
		return leaseRefusal(owner, order, nowMillis).or(() -> operatorRefusal(order))
			.or(() -> endpointRefusal(owner, order, state, nowMillis))
			.or(() -> order.resources().fitsInto(room.get()) ? Optional.empty() : Optional.of("no_room"));
	}

	private Optional<String> leaseRefusal(EntrySession owner, RunStart order, long nowMillis) {
		long ageMillis = nowMillis - order.agentClockMillis();
		if (ageMillis > LeaseTimes.ENTRY_LEASE_MILLIS) {
			return Optional.of("late_ms_" + ageMillis);
		}
		if (!owner.hasLease(nowMillis) || this.sessions.hasLapsed(order.agentClockMillis())) {
			return Optional.of("no_lease");
		}
		if (this.possibleSuspension.doubtful()) {
			return Optional.of("suspension_possible");
		}
		return owner.retiring ? Optional.of("link_retiring") : Optional.empty();
	}

	private Optional<String> operatorRefusal(RunStart order) {
		if (this.cancellations.isCancelled(order.run().jobId())) {
			return Optional.of("cancelled");
		}
		return this.drains.drains().includes(this.domain) ? Optional.of("domain_drained") : Optional.empty();
	}

	private Optional<String> endpointRefusal(EntrySession owner, RunStart order, EndpointState state, long nowMillis) {
		if (this.renewals.preventStarts(nowMillis)) {
			return Optional.of("renewal_withheld");
		}
		if (state == EndpointState.DRAINING || state == EndpointState.SILENT) {
			return Optional.of(state.name());
		}
		if (this.runs.containsKey(order.run().task())) {
			return Optional.of("task_present");
		}
		return (state == EndpointState.SUSPECT) ? Optional.of("endpoint_suspect") : Optional.empty();
	}

	/**
	 * Returns whether another entry has runs of a job here.
	 * @param jobId id of the job
	 * @param entry the entry
	 * @return whether a run of the job is present that the entry does not own
	 */
	boolean hasForeignRun(String jobId, EntrySession entry) {
		return this.runs.values().stream().anyMatch((run) -> run.owner != entry && run.key.jobId().equals(jobId));
	}

}
