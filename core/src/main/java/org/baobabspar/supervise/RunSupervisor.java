package org.baobabspar.supervise;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.baobabspar.fleet.DomainDrains;
import org.baobabspar.fleet.DrainGossip;
import org.baobabspar.fleet.EndpointState;
import org.baobabspar.fleet.EndpointStatus;
import org.baobabspar.fleet.Resources;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.baobabspar.fleet.SuspensionDetector;
import org.baobabspar.message.CancelNotice;
import org.baobabspar.message.CancelReply;
import org.baobabspar.message.DrainNotice;
import org.baobabspar.message.EntryWelcome;
import org.baobabspar.message.JobClaim;
import org.baobabspar.message.JobClaimReply;
import org.baobabspar.message.LeaseGrant;
import org.baobabspar.message.RunStart;
import org.baobabspar.message.SupervisorHello;
import org.baobabspar.supervise.EndpointIncarnations.ReportUse;
import org.baobabspar.supervise.SupervisedRun.Phase;

/**
 * Decides for one agent which runs its endpoint executes, renews the endpoint's lease and
 * stops runs that have no owner. Example: when an entry is cut off from the agent, its
 * lease expires after 350 ms and its runs are stopped. Their room is free again when the
 * endpoint lists their ends, and the ends are sent when the entry reconnects.
 * <p>
 * Invariants: the room of all runs that may be present never exceeds the endpoint's
 * capacity; a run is started only while its entry holds a lease and the start is fresh; a
 * run is reported as refused only if it never began; a run is reported as ended only with
 * proof that it does not exist and never will ({@link AbsenceProof}). Used on the control
 * thread only.
 */
public final class RunSupervisor {

	/**
	 * An endpoint whose answer to a poll is overdue by more than this gets no new runs.
	 */
	private static final long MAX_ANSWER_DELAY_MILLIS = 250;

	private static final long STOP_RETRY_MILLIS = 80;

	/** Name of the endpoint as a peer whose clock is observed. */
	private static final String ENDPOINT = "endpoint";

	private static final long POLL_RETRY_MILLIS = 20;

	/** How long a poll waits for an end while runs need their lease renewed. */
	private static final long ACTIVE_POLL_WAIT_MILLIS = 150;

	/** How long a poll waits for an end while there are no runs. */
	private static final long IDLE_POLL_WAIT_MILLIS = 400;

	private static final long FENCE_INCREMENT = 10_000;

	/**
	 * A run is stalled if its percentage does not change for this time or for
	 * {@link #STALL_FRACTION} of its expected run time, whichever is longer. A run on an
	 * endpoint that is eight times too slow still gains a percent in less.
	 */
	private static final long STALL_MILLIS = 220;

	private static final double STALL_FRACTION = 0.12;

	private static final int MAX_LISTED_ENDS = 500;

	private static final long MIN_SUSPENSION_MILLIS = 100;

	/** Short enough that an endpoint's slow clock loses less than half of the above. */
	private static final long SUSPENSION_WINDOW_MILLIS = 1_000;

	private final String agent;

	private final long incarnation;

	private final String domain;

	private final EndpointDriver driver;

	private final SupervisorOutbox outbox;

	private final Consumer<String> log;

	private final EntrySessionRegistry sessions;

	private final Map<String, SupervisedRun> runs = new LinkedHashMap<>();

	private final LeaseRenewals renewals;

	private final CancellationRelay cancellations;

	private final JobClaimRelay claims;

	private final DrainGossip drains;

	private final RoomSharing roomSharing = new RoomSharing();

	private final StartGate gate;

	/** Whether an entry has ever linked. */
	private boolean everLinked;

	private final EndpointHealth health = new EndpointHealth();

	private final SuspensionDetector suspensions = new SuspensionDetector(MIN_SUSPENSION_MILLIS,
			SUSPENSION_WINDOW_MILLIS);

	private final PossibleSuspension possibleSuspension = new PossibleSuspension(MIN_SUSPENSION_MILLIS);

	private final EndpointIncarnations incarnations = new EndpointIncarnations();

	private EndpointReport endpoint;

	/** When the agent attached to the current incarnation. */
	private long attachedMillis;

	/**
	 * Whether the attached incarnation has answered a call, and no other endpoint since.
	 */
	private boolean incarnationAnswers;

	private final CheckpointPolicy checkpoints = new CheckpointPolicy();

	/**
	 * Listed runs that have no owner. Their room is unknown, so the endpoint gets no new
	 * runs until they are gone.
	 */
	private final OrphanedRuns orphanedRuns = new OrphanedRuns();

	/** Whether the endpoint's current incarnation has ever answered a poll. */
	private boolean inventoryKnown;

	private boolean pollInFlight;

	private boolean probeInFlight;

	/** Whether the current incarnation has answered and no poll has failed since. */
	private boolean lastPollAnswered;

	private long nextPollMillis;

	/** When the endpoint last answered. */
	private long lastAnswerMillis;

	/** How long the endpoint may hold back its answer to the current poll. */
	private long pollWaitMillis = ACTIVE_POLL_WAIT_MILLIS;

	private long confirmedEndSequence;

	private long fencingToken;

	private boolean draining;

	/**
	 * Creates the supervisor of an agent.
	 * @param agent name of the agent
	 * @param incarnation incarnation of the agent
	 * @param domain failure domain of the agent
	 * @param firstFencingToken first fencing token to try
	 * @param driver calls the endpoint
	 * @param outbox sends messages
	 * @param log takes lines for the log
	 */
	public RunSupervisor(String agent, long incarnation, String domain, long firstFencingToken, EndpointDriver driver,
			SupervisorOutbox outbox, Consumer<String> log) {
		this.agent = agent;
		this.incarnation = incarnation;
		this.domain = domain;
		this.fencingToken = firstFencingToken;
		this.driver = driver;
		this.outbox = outbox;
		this.log = log;
		this.sessions = new EntrySessionRegistry(outbox, log);
		this.renewals = new LeaseRenewals(this.runs.values(), this.orphanedRuns, log);
		this.cancellations = new CancellationRelay(outbox, this::stopRunsOf);
		this.drains = new DrainGossip((link, known) -> outbox.send(link, new DrainNotice(known)));
		this.gate = new StartGate(domain, this.runs, this.sessions, this.renewals, this.possibleSuspension,
				this.cancellations, this.drains);
		this.claims = new JobClaimRelay(outbox, this.sessions, this.gate::hasForeignRun);
	}

	// The endpoint

	/**
	 * Handles a report of the endpoint.
	 * @param report the report
	 * @param nowMillis the current time
	 */
	public void report(EndpointReport report, long nowMillis) {
		ReportUse use = this.incarnations.useOf(report, this.endpoint, this.incarnationAnswers);
		if (use == ReportUse.IGNORE) {
			this.log.accept("ignored report=late endpoint=" + report.endpointId() + " born=" + report.bornMillis());
			return;
		}
		if (use == ReportUse.ATTACH) {
			attach(report, nowMillis);
		}
		else if (report.sequence() > this.endpoint.sequence()) {
			boolean startsDraining = report.draining() && !this.endpoint.draining();
			if (!hasSameHardware(report, this.endpoint)) {
				this.health.reset(1);
			}
			this.endpoint = report;
			if (startsDraining) {
				this.log.accept("endpoint=" + report.endpointId() + " state=draining sequence=" + report.sequence());
			}
		}
		this.sessions.markStateChanged();
	}

	/**
	 * Restores what an earlier incarnation of this agent has stored of its endpoint, so
	 * that a restarted agent need not wait for a report. The endpoint is used only after
	 * it has answered as the stored incarnation.
	 * @param checkpoint the stored checkpoint
	 * @param nowMillis the current time
	 */
	public void restore(EndpointCheckpoint checkpoint, long nowMillis) {
		this.checkpoints.restored(checkpoint);
		EndpointReport report = checkpoint.report();
		this.log.accept("endpoint=" + report.endpointId() + " born=" + report.bornMillis() + " state=remembered speed="
				+ checkpoint.baselineSpeed());
		if (this.endpoint == null) {
			attach(report, nowMillis);
		}
		if (hasSameHardware(report, this.endpoint) && !this.health.isBaselineKnown()) {
			this.health.reset(checkpoint.baselineSpeed());
		}
	}

	private static boolean hasSameHardware(EndpointReport first, EndpointReport second) {
		return first.capacity().equals(second.capacity()) && first.labels().equals(second.labels());
	}

	/**
	 * Returns the checkpoint to store if the endpoint has changed enough since the last
	 * one.
	 * @param nowMillis the current time
	 * @return the checkpoint, empty if there is nothing to store
	 */
	public Optional<EndpointCheckpoint> checkpoint(long nowMillis) {
		return (this.endpoint != null && isReported()) ? this.checkpoints.next(this.endpoint, this.health, nowMillis)
				: Optional.empty();
	}

	/**
	 * Attaches to another incarnation of the endpoint. Its report does not prove that it
	 * is alive, and an incarnation with the same id may have carried out orders that were
	 * meant for its predecessor, so the runs are kept until its inventory shows which of
	 * them are gone. The higher fencing token excludes orders that are still in flight.
	 * All leases of entries lapse, since the clock of another incarnation does not show
	 * whether this VM was suspended since the last answer of the previous one.
	 * @param report report of the new incarnation
	 * @param nowMillis the current time
	 */
	private void attach(EndpointReport report, long nowMillis) {
		this.log.accept("endpoint=" + report.endpointId() + " born=" + report.bornMillis() + " service="
				+ report.service() + " state=attached fence=" + (this.fencingToken + 1) + " runs=" + this.runs.size());
		this.runs.values().forEach((run) -> run.invalidateConfirmations(nowMillis));
		double speed = (this.endpoint != null && hasSameHardware(report, this.endpoint)) ? this.health.baselineSpeed()
				: 1;
		this.orphanedRuns.clear();
		this.endpoint = report;
		this.attachedMillis = nowMillis;
		this.incarnationAnswers = false;
		this.fencingToken++;
		this.inventoryKnown = false;
		this.lastPollAnswered = false;
		this.confirmedEndSequence = 0;
		this.health.reset(speed);
		this.lastAnswerMillis = nowMillis;
		if (this.suspensions.forget(ENDPOINT)) {
			this.sessions.lapseLeases(nowMillis);
		}
		this.driver.attach(report);
		this.pollInFlight = false;
		poll(nowMillis);
	}

	/**
	 * Handles the deregistration of the endpoint, which drains until its next report. A
	 * deregistration does not name the incarnation, and may arrive when the next one has
	 * attached already; an incarnation that ends sends no further report.
	 * @param endpointId the endpoint
	 * @param nowMillis the current time
	 */
	public void deregistered(String endpointId, long nowMillis) {
		if (this.endpoint != null && this.endpoint.endpointId().equals(endpointId)) {
			this.log.accept("endpoint=" + endpointId + " state=left");
			this.endpoint = new EndpointReport(endpointId, this.endpoint.bornMillis(), this.endpoint.sequence(),
					this.endpoint.service(), this.endpoint.capacity(), this.endpoint.labels(), true);
			this.sessions.markStateChanged();
		}
	}

	private void poll(long nowMillis) {
		if (this.pollInFlight || this.endpoint == null) {
			return;
		}
		this.pollInFlight = true;
		if (!this.lastPollAnswered) {
			this.driver.poll(EndpointLease.NONE, this.confirmedEndSequence, 0, this.fencingToken);
		}
		else if (this.runs.isEmpty()) {
			this.pollWaitMillis = IDLE_POLL_WAIT_MILLIS;
			this.driver.poll(EndpointLease.NONE, this.confirmedEndSequence, IDLE_POLL_WAIT_MILLIS, this.fencingToken);
		}
		else {
			this.pollWaitMillis = ACTIVE_POLL_WAIT_MILLIS;
			this.driver.poll(this.renewals.extend(this.endpoint.endpointId(), nowMillis), this.confirmedEndSequence,
					ACTIVE_POLL_WAIT_MILLIS, this.fencingToken);
		}
	}

	/**
	 * Sends a probe if a start got no answer or this VM may have been suspended. A probe
	 * is answered at once, while the poll in flight may still wait for an end.
	 */
	private void probe() {
		boolean needed = this.possibleSuspension.doubtful()
				|| this.runs.values().stream().anyMatch((run) -> run.phase == Phase.UNCERTAIN);
		if (needed && !this.probeInFlight && this.endpoint != null) {
			this.probeInFlight = true;
			this.possibleSuspension.probeSent();
			this.driver.probe(this.confirmedEndSequence, this.fencingToken);
		}
	}

	/**
	 * Handles the outcome of a probe.
	 * @param answer the inventory, empty if the probe got none
	 * @param nowMillis the current time
	 */
	public void probeAnswered(Optional<RunInventory> answer, long nowMillis) {
		this.probeInFlight = false;
		answer.ifPresent((inventory) -> {
			this.possibleSuspension.probeAnswered();
			if (isCurrent(inventory)) {
				applyInventory(inventory, nowMillis);
			}
			else {
				attachToAnswering(inventory, nowMillis);
			}
			if (this.possibleSuspension.doubtful()) {
				probe();
			}
		});
	}

	/**
	 * Attaches to the incarnation that answered a call in place of the attached one, so
	 * that it gets a higher fencing token before anything else. Answers to calls sent
	 * before the attachment are ignored, since they may come from a predecessor.
	 * @param inventory the answer
	 * @param nowMillis the current time
	 */
	private void attachToAnswering(RunInventory inventory, long nowMillis) {
		if (this.endpoint == null || inventory.sentMillis() <= this.attachedMillis) {
			return;
		}
		this.log.accept("endpoint=" + this.endpoint.endpointId() + " born=" + this.endpoint.bornMillis()
				+ " state=replaced proof=answer_of_born_" + inventory.bornMillis());
		attach(this.incarnations.answering(this.endpoint, inventory.bornMillis()), nowMillis);
		this.incarnationAnswers = true;
		this.sessions.markStateChanged();
	}

	private boolean isCurrent(RunInventory inventory) {
		return this.endpoint != null && inventory.bornMillis() == this.endpoint.bornMillis();
	}

	private void applyInventory(RunInventory inventory, long nowMillis) {
		this.lastAnswerMillis = nowMillis;
		applyEnds(inventory, nowMillis);
		reconcilePresent(inventory, nowMillis);
	}

	/**
	 * Handles the answer to a poll.
	 * @param inventory the answer
	 * @param nowMillis the current time
	 */
	public void pollAnswered(RunInventory inventory, long nowMillis) {
		this.pollInFlight = false;
		if (!isCurrent(inventory)) {
			attachToAnswering(inventory, nowMillis);
			return;
		}
		boolean wasUsable = !isSilent(nowMillis) && this.lastPollAnswered && this.orphanedRuns.isEmpty();
		this.lastPollAnswered = true;
		applyInventory(inventory, nowMillis);
		this.inventoryKnown = true;
		this.incarnationAnswers = true;
		if (!wasUsable && isReported() && this.orphanedRuns.isEmpty()) {
			this.log.accept("endpoint=" + this.endpoint.endpointId() + " state=answering");
			this.sessions.markStateChanged();
		}
		poll(nowMillis);
	}

	private void applyEnds(RunInventory inventory, long nowMillis) {
		for (EndedRun ended : inventory.ended()) {
			if (ended.sequence() <= this.confirmedEndSequence) {
				continue;
			}
			this.confirmedEndSequence = ended.sequence();
			SupervisedRun run = this.runs.get(ended.task());
			if (run != null && run.matches(ended.task(), ended.number())) {
				run.confirm(nowMillis);
				finish(run, ended.end(), "end_listed", nowMillis);
			}
		}
	}

	private void reconcilePresent(RunInventory inventory, long nowMillis) {
		Set<String> present = new HashSet<>();
		List<PresentRun> orphaned = new ArrayList<>();
		for (PresentRun listed : inventory.present()) {
			SupervisedRun run = this.runs.get(listed.task());
			if (run != null && run.matches(listed.task(), listed.number())) {
				present.add(listed.task());
				run.confirm(nowMillis);
				checkProgress(run, listed.percent(), nowMillis);
			}
			else {
				orphaned.add(listed);
				this.log.accept("stop run=" + listed.task() + "#" + listed.number() + " reason=unknown_run");
				this.driver.stop(listed.task(), listed.number(), this.fencingToken);
			}
		}
		this.orphanedRuns.update(orphaned, inventory.sentMillis(), nowMillis);
		boolean complete = inventory.ended().size() < MAX_LISTED_ENDS;
		for (SupervisedRun run : List.copyOf(this.runs.values())) {
			if (complete && !present.contains(run.key.task())) {
				reconcileAbsent(run, inventory.sentMillis(), nowMillis);
			}
		}
	}

	/**
	 * Evaluates the progress of a run. A stalled run is stopped, so that it can start
	 * elsewhere; a run that is behind its expected progress shows that the endpoint has
	 * become slow.
	 * @param run the run
	 * @param percent its progress
	 * @param nowMillis the current time
	 */
	private void checkProgress(SupervisedRun run, int percent, long nowMillis) {
		if (run.phase != Phase.RUNNING) {
			return;
		}
		if (percent != run.progressPercent || !run.progressReported) {
			run.recordProgress(percent, nowMillis);
			run.pace().ifPresent((pace) -> this.health.recordPace(pace, run.overdueMillis(), nowMillis));
		}
		else if (nowMillis - run.lastProgressMillis > Math.max(STALL_MILLIS, STALL_FRACTION * run.expectedMillis)) {
			this.health.recordStall(run, nowMillis);
			stop(run, nowMillis, "stalled_at_percent_" + run.progressPercent);
			this.sessions.markStateChanged();
		}
	}

	/**
	 * Handles a run that the endpoint lists neither as present nor as ended. If this
	 * proves nothing about a start without an answer, the run is stopped, since the
	 * confirmation of the stop makes the next absence conclusive.
	 * @param run the run
	 * @param sentMillis when the poll was sent
	 * @param nowMillis the current time
	 */
	private void reconcileAbsent(SupervisedRun run, long sentMillis, long nowMillis) {
		AbsenceProof.of(run, sentMillis)
			.ifPresentOrElse((proof) -> finish(run, proof.end(), proof.reason(), nowMillis), () -> {
				if (run.phase == Phase.UNCERTAIN) {
					stop(run, nowMillis, "start_unanswered");
				}
			});
	}

	/**
	 * Handles a poll that got no answer. The endpoint may have crashed, and its next
	 * incarnation accepts any fencing token. The next poll therefore carries a higher one
	 * than all earlier calls, which may still be carried out.
	 * @param nowMillis the current time
	 */
	public void pollFailed(long nowMillis) {
		this.pollInFlight = false;
		this.lastPollAnswered = false;
		this.fencingToken++;
		this.nextPollMillis = nowMillis + POLL_RETRY_MILLIS;
	}

	/**
	 * Handles an endpoint that does not accept connections: it gets no new runs until it
	 * answers again.
	 * @param nowMillis the current time
	 */
	public void unreachable(long nowMillis) {
		if (!isSilent(nowMillis)) {
			this.log.accept("endpoint=" + this.endpoint.endpointId() + " state=unreachable");
			this.lastAnswerMillis = nowMillis - this.pollWaitMillis - MAX_ANSWER_DELAY_MILLIS - 1;
			this.sessions.markStateChanged();
		}
	}

	/**
	 * Handles a poll that was rejected because the endpoint knows a higher fencing token.
	 * @param nowMillis the current time
	 */
	public void fenced(long nowMillis) {
		this.fencingToken += FENCE_INCREMENT;
		this.log.accept("fence=" + this.fencingToken + " reason=refused");
		pollFailed(nowMillis);
	}

	/**
	 * Handles an answer from an endpoint with another id, which proves that the attached
	 * one is gone. It proves nothing about runs that were ordered from other endpoints.
	 * @param nowMillis the current time
	 */
	public void otherIncarnation(long nowMillis) {
		if (this.endpoint != null) {
			String endpointId = this.endpoint.endpointId();
			finishAsLost((run) -> run.endpointId.equals(endpointId), "other_lifetime", nowMillis);
			if (this.incarnationAnswers) {
				this.incarnations.markEnded(this.endpoint);
			}
			this.incarnationAnswers = false;
			this.inventoryKnown = false;
		}
		pollFailed(nowMillis);
		this.sessions.markStateChanged();
	}

	/**
	 * Handles a reading of the time of day. If it shows that this VM may have been
	 * suspended, starts are refused until the endpoint has answered. Called before each
	 * event.
	 * @param timeOfDayMillis the time of day
	 * @param nowMillis the current time
	 */
	public void observeTimeOfDay(long timeOfDayMillis, long nowMillis) {
		if (this.possibleSuspension.observe(timeOfDayMillis, nowMillis)) {
			this.log.accept("suspension=possible reason=time_of_day_gained runs=" + this.runs.size());
			probe();
		}
	}

	/**
	 * Handles a reading of the endpoint's monotonic clock, which may show that this VM
	 * was suspended.
	 * @param sentMillis when the call was sent whose answer carries the reading
	 * @param endpointMillis the endpoint's clock
	 * @param nowMillis the current time
	 */
	public void observeEndpointClock(long sentMillis, long endpointMillis, long nowMillis) {
		observeClock(ENDPOINT, sentMillis, endpointMillis, nowMillis);
	}

	/**
	 * Lets all leases of entries lapse if the clock of a peer shows that this VM was
	 * suspended, since they may have expired meanwhile.
	 * @param peer name of the peer
	 * @param askedMillis when the reading was asked for
	 * @param peerMillis the peer's clock
	 * @param nowMillis the current time
	 */
	private void observeClock(String peer, long askedMillis, long peerMillis, long nowMillis) {
		this.suspensions.observe(peer, askedMillis, peerMillis, nowMillis).ifPresent((lostMillis) -> {
			this.log.accept("suspended lost_ms=" + lostMillis + " peer=" + peer + " runs=" + this.runs.size());
			this.sessions.lapseLeases(nowMillis);
		});
	}

	// Runs

	/**
	 * Handles an order to start a run: starts it, or reports it as refused.
	 * @param link the link on which the order came
	 * @param order the order
	 * @param nowMillis the current time
	 */
	public void start(String link, RunStart order, long nowMillis) {
		EntrySession owner = this.sessions.find(link).orElse(null);
		if (owner == null) {
			return;
		}
		owner.lastStartSequence = order.sequence();
		this.roomSharing.recordStart(owner, order.resources(), nowMillis);
		if (this.gate.hasForeignRun(order.run().jobId(), owner)) {
			refuse(owner, order, "job_present", RunEnd.JOB_PRESENT);
			return;
		}
		Optional<String> reason = this.gate.refusalReason(owner, order, state(nowMillis), () -> offeredRoom(nowMillis),
				nowMillis);
		if (reason.isPresent()) {
			refuse(owner, order, reason.get(), RunEnd.REFUSED);
			return;
		}
		SupervisedRun run = new SupervisedRun(order.run(), owner, order.resources(), order.expectedMillis(), nowMillis);
		run.endpointId = this.endpoint.endpointId();
		run.fencingToken = this.fencingToken;
		this.runs.put(order.run().task(), run);
		this.driver.start(order.run(), order.payload(), this.renewals.extend(this.endpoint.endpointId(), nowMillis),
				this.fencingToken);
		this.sessions.markRoomChanged();
	}

	private void refuse(EntrySession owner, RunStart order, String reason, RunEnd end) {
		this.log.accept("refuse run=" + order.run().task() + "#" + order.run().number() + " entry=" + owner.entry
				+ " reason=" + reason);
		this.sessions.reportEnd(owner, order.run(), end, 0);
	}

	/**
	 * Handles the endpoint's answer to a start.
	 * @param key the run
	 * @param answer the answer
	 * @param nowMillis the current time
	 */
	public void startAnswered(RunKey key, StartAnswer answer, long nowMillis) {
		SupervisedRun run = this.runs.get(key.task());
		if (answer == StartAnswer.FENCED && (run == null || run.fencingToken == this.fencingToken)) {
			this.fencingToken += FENCE_INCREMENT;
		}
		if (run == null || !run.key.equals(key)) {
			return;
		}
		if (answer == StartAnswer.STARTED) {
			run.confirm(nowMillis);
		}
		else if (answer == StartAnswer.UNKNOWN) {
			this.log.accept("unanswered run=" + key.task() + "#" + key.number());
			if (run.phase == Phase.STARTING) {
				run.phase = Phase.UNCERTAIN;
				probe();
			}
		}
		else if (run.confirmed) {
			this.log.accept("kept run=" + key.task() + "#" + key.number() + " answer=" + answer + " reason=listed");
		}
		else {
			if (answer == StartAnswer.NOT_SENT) {
				unreachable(nowMillis);
			}
			this.log.accept("refused run=" + key.task() + "#" + key.number() + " answer=" + answer);
			finish(run, answer.end().orElseThrow(), "answer_" + answer, nowMillis);
		}
	}

	/**
	 * Handles an order to stop a run. An order from another entry than the owner means
	 * another run, although its key is equal: both number the runs of a job that its
	 * caller submitted to each of them.
	 * @param link the link on which the order came
	 * @param key the run
	 * @param nowMillis the current time
	 */
	public void stop(String link, RunKey key, long nowMillis) {
		SupervisedRun run = this.runs.get(key.task());
		if (run == null || !run.key.equals(key)) {
			return;
		}
		if (this.sessions.find(link).filter((session) -> session == run.owner).isEmpty()) {
			this.log.accept("ignored stop=" + key.task() + "#" + key.number() + " link=" + link + " owner="
					+ run.owner.incarnationName());
			return;
		}
		run.excludeFromLaterGrants();
		stop(run, nowMillis, "asked");
	}

	/**
	 * Handles an entry's notice of cancelled jobs, whichever entries own their runs.
	 * @param link the link of the entry
	 * @param notice the notice
	 * @param nowMillis the current time
	 */
	public void cancel(String link, CancelNotice notice, long nowMillis) {
		this.cancellations.handleNotice(link, notice, this.sessions.linksExcept(link), nowMillis);
	}

	/**
	 * Handles an entry's confirmation of a notice that this agent has passed on.
	 * @param link the link of the entry
	 * @param reply the confirmation
	 */
	public void cancelConfirmed(String link, CancelReply reply) {
		this.cancellations.handleReply(link, reply);
	}

	/**
	 * Handles an entry's claim of jobs.
	 * @param link the link of the entry
	 * @param claim the claim
	 * @param nowMillis the current time
	 */
	public void claim(String link, JobClaim claim, long nowMillis) {
		this.sessions.find(link).ifPresent((claimant) -> this.claims.handleClaim(claimant, claim, nowMillis));
	}

	/**
	 * Handles an entry's answer to a claim that this agent has passed on.
	 * @param link the link of the entry
	 * @param reply the answer
	 */
	public void claimAnswered(String link, JobClaimReply reply) {
		this.claims.handleReply(link, reply);
	}

	private boolean stopRunsOf(String jobId, long nowMillis) {
		List<SupervisedRun> cancelled = this.runs.values()
			.stream()
			.filter((run) -> run.key.jobId().equals(jobId))
			.toList();
		for (SupervisedRun run : cancelled) {
			run.excludeFromLaterGrants();
			stop(run, nowMillis, "cancelled");
		}
		return !cancelled.isEmpty();
	}

	private void stop(SupervisedRun run, long nowMillis, String reason) {
		if (run.phase != Phase.STOPPING) {
			this.log.accept("stop run=" + run.key.task() + "#" + run.key.number() + " reason=" + reason);
			run.phase = Phase.STOPPING;
			sendStop(run, nowMillis);
		}
	}

	private void sendStop(SupervisedRun run, long nowMillis) {
		run.stopSentMillis = nowMillis;
		this.driver.stop(run.key.task(), run.key.number(), this.fencingToken);
	}

	/**
	 * Handles the endpoint's confirmation of a stop.
	 * @param task the task
	 * @param number number of the run
	 * @param nowMillis the current time
	 */
	public void stopConfirmed(String task, long number, long nowMillis) {
		SupervisedRun run = this.runs.get(task);
		if (run != null && run.matches(task, number) && run.phase == Phase.STOPPING && run.stopConfirmedMillis == 0) {
			run.stopConfirmedMillis = nowMillis;
		}
	}

	private void finish(SupervisedRun run, RunEnd end, String proof, long nowMillis) {
		this.runs.remove(run.key.task());
		long ranMillis = run.confirmed ? nowMillis - run.startedMillis : 0;
		this.health.recordEnd(run, end, ranMillis, nowMillis);
		if (end != RunEnd.DONE) {
			this.log.accept("ended run=" + run.key.task() + "#" + run.key.number() + " entry=" + run.owner.entry
					+ " end=" + end + " ran_ms=" + ranMillis + " expected_ms=" + run.expectedMillis + " endpoint="
					+ run.endpointId + " attached_born=" + this.endpoint.bornMillis() + " proof=" + proof);
		}
		this.sessions.reportEnd(run.owner, run.key, end, ranMillis);
		this.sessions.markRoomChanged();
	}

	private void finishAsLost(Predicate<SupervisedRun> selection, String proof, long nowMillis) {
		List<SupervisedRun> lost = this.runs.values().stream().filter(selection).toList();
		if (!lost.isEmpty()) {
			this.log
				.accept("lost runs=" + lost.size() + " kept=" + (this.runs.size() - lost.size()) + " reason=" + proof);
		}
		lost.forEach((run) -> finish(run, RunEnd.LOST, proof, nowMillis));
	}

	// Entries

	/**
	 * Handles the welcome of an entry: binds the link to that incarnation of the entry,
	 * answers with a hello and sends the unconfirmed ends again.
	 * @param link the link
	 * @param welcome the welcome
	 * @param nowMillis the current time
	 */
	public void welcomed(String link, EntryWelcome welcome, long nowMillis) {
		EntrySession session = this.sessions.bind(link, welcome);
		if (!this.everLinked) {
			this.everLinked = true;
			this.roomSharing.begin(nowMillis);
		}
		this.cancellations.linked(link, nowMillis);
		this.claims.linked(link, nowMillis);
		this.drains.linked(link);
		this.outbox.send(link, new SupervisorHello(this.agent, this.incarnation, this.domain,
				status(session, nowMillis), runsOf(session), welcome.linkNumber()));
		session.unconfirmedEnds().forEach((end) -> this.outbox.send(link, end));
		this.sessions.requestLease(session, status(session, nowMillis), nowMillis);
	}

	private List<RunKey> runsOf(EntrySession session) {
		return this.runs.values().stream().filter((run) -> run.owner == session).map((run) -> run.key).toList();
	}

	/**
	 * Handles the end of a link.
	 * @param link the link
	 */
	public void unlinked(String link) {
		this.sessions.unbind(link);
		this.cancellations.unlinked(link);
		this.claims.unlinked(link);
	}

	/**
	 * Handles the drains of failure domains. While the domain of this agent is drained,
	 * starts are refused and runs that are present go on.
	 * @param link the link on which they came
	 * @param candidate the drains
	 */
	public void adoptDrains(String link, DomainDrains candidate) {
		this.drains.adopt(candidate, link, this.sessions.links()).ifPresent((before) -> {
			if (before.includes(this.domain) != candidate.includes(this.domain)) {
				this.log.accept("drains version=" + candidate.version() + " domain=" + this.domain + " drained="
						+ candidate.includes(this.domain) + " runs=" + this.runs.size());
				this.sessions.markStateChanged();
			}
		});
	}

	/**
	 * Handles a lease that an entry grants. A grant after a gap does not keep the runs
	 * that were present before, since the entry may have given them up and may have
	 * started their tasks elsewhere.
	 * @param link the link
	 * @param grant the grant
	 * @param nowMillis the current time
	 */
	public void granted(String link, LeaseGrant grant, long nowMillis) {
		this.sessions.find(link)
			.ifPresent((session) -> observeClock(session.incarnationName(), grant.sentMillis(), grant.clockMillis(),
					nowMillis));
		this.sessions.find(link)
			.filter((session) -> session.hadLapsedBefore(grant))
			.ifPresent((session) -> this.runs.values()
				.stream()
				.filter((run) -> run.owner == session)
				.forEach(SupervisedRun::excludeFromLaterGrants));
		this.sessions.extendLease(link, grant);
	}

	/**
	 * Begins to retire a link that is no longer wanted: new runs on it are refused.
	 * @param link the link
	 */
	public void retire(String link) {
		this.sessions.find(link).filter((session) -> !session.retiring).ifPresent((session) -> {
			this.log.accept("entry=" + session.entry + " state=retiring");
			session.retiring = true;
			session.statusUrgent = true;
		});
	}

	/**
	 * Returns whether a link can be closed.
	 * @param link the link
	 * @return whether no run of its entry may be present
	 */
	public boolean canClose(String link) {
		return this.sessions.find(link).filter(this::hasRuns).isEmpty();
	}

	private boolean hasRuns(EntrySession session) {
		return this.runs.values().stream().anyMatch((run) -> run.owner == session);
	}

	/**
	 * Sends the lease requests and status updates that are due. Called after each batch
	 * of events, so that changes of the same batch are sent once.
	 * @param nowMillis the current time
	 */
	public void flush(long nowMillis) {
		this.sessions.sendDueRequests((session) -> status(session, nowMillis), idle(), nowMillis);
	}

	// Time

	/**
	 * Runs the periodic work: stops runs without a lease, sends stops, polls and probes
	 * again, and gives up the runs of an endpoint that has been silent for too long. A
	 * start without an answer is not given up, since the lease of one incarnation does
	 * not keep the next one from carrying it out.
	 * @param nowMillis the current time
	 */
	public void tick(long nowMillis) {
		for (SupervisedRun run : List.copyOf(this.runs.values())) {
			checkRun(run, nowMillis);
		}
		this.sessions.removeExpired(this::hasRuns, nowMillis).forEach(this.roomSharing::forget);
		probe();
		if (!this.pollInFlight && nowMillis >= this.nextPollMillis) {
			poll(nowMillis);
		}
		if (!this.runs.isEmpty() && isSilent(nowMillis) && this.renewals.hasExpired(nowMillis)) {
			finishAsLost((run) -> run.confirmed, "endpoint_silent", nowMillis);
		}
		if (this.endpoint != null && this.renewals.review(this.endpoint.endpointId(), nowMillis)) {
			this.sessions.markStateChanged();
		}
	}

	private void checkRun(SupervisedRun run, long nowMillis) {
		if (run.phase == Phase.STOPPING) {
			if (run.stopConfirmedMillis == 0 && nowMillis - run.stopSentMillis >= STOP_RETRY_MILLIS) {
				sendStop(run, nowMillis);
			}
			return;
		}
		if (run.mustEndMillis() <= nowMillis) {
			stop(run, nowMillis, "lease_lapsed");
		}
	}

	// Status

	/**
	 * Refuses new runs from now on, since the agent is about to shut down.
	 */
	public void drain() {
		this.draining = true;
		this.sessions.markStateChanged();
	}

	/**
	 * Returns whether the supervisor has no runs.
	 * @return whether no run may be present
	 */
	public boolean idle() {
		return this.runs.isEmpty();
	}

	private boolean isSilent(long nowMillis) {
		return !this.inventoryKnown || !isReported()
				|| nowMillis - this.lastAnswerMillis > this.pollWaitMillis + MAX_ANSWER_DELAY_MILLIS;
	}

	private boolean isReported() {
		return this.endpoint.sequence() != EndpointIncarnations.UNREPORTED_SEQUENCE;
	}

	private EndpointState state(long nowMillis) {
		if (this.endpoint == null || isSilent(nowMillis) || this.renewals.preventStarts(nowMillis)) {
			return EndpointState.SILENT;
		}
		if (this.draining || this.endpoint.draining() || this.drains.drains().includes(this.domain)) {
			return EndpointState.DRAINING;
		}
		return this.health.isEjected(nowMillis) ? EndpointState.SUSPECT : EndpointState.READY;
	}

	private Resources freeRoom() {
		Resources free = this.endpoint.capacity();
		for (SupervisedRun run : this.runs.values()) {
			free = free.minus(run.room);
		}
		return free;
	}

	/**
	 * Returns the room that new runs may take. An endpoint on probation after an ejection
	 * gets one run at a time until a run succeeds.
	 * @param nowMillis the current time
	 * @return the room
	 */
	private Resources offeredRoom(long nowMillis) {
		return (this.health.isOnProbation() && !this.runs.isEmpty()) ? Resources.NONE : freeRoom();
	}

	private EndpointStatus status(EntrySession session, long nowMillis) {
		EndpointStatus whole = status(session.lastStartSequence, nowMillis);
		EndpointStatus status = whole
			.withLent(this.roomSharing.lend(session, whole.free(), this.sessions.linked(), nowMillis));
		return session.retiring ? status.withState(EndpointState.DRAINING) : status;
	}

	/**
	 * Returns the endpoint's status as reported to an entry.
	 * @param lastStartSequence sequence of the last start received from that entry
	 * @param nowMillis the current time
	 * @return the status
	 */
	public EndpointStatus status(long lastStartSequence, long nowMillis) {
		if (this.endpoint == null) {
			return new EndpointStatus("", "", EndpointState.SILENT, Resources.NONE, Resources.NONE, List.of(), 1,
					lastStartSequence);
		}
		return new EndpointStatus(this.endpoint.endpointId(), this.endpoint.service(), state(nowMillis),
				this.endpoint.capacity(), offeredRoom(nowMillis), this.endpoint.labels(), this.health.speed(nowMillis),
				lastStartSequence);
	}

}
