package org.baobabspar.supervise;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.baobabspar.fleet.EndpointState;
import org.baobabspar.fleet.EndpointStatus;
import org.baobabspar.fleet.Resources;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.baobabspar.message.EntryWelcome;
import org.baobabspar.message.LeaseGrant;
import org.baobabspar.message.RunStart;
import org.baobabspar.message.SupervisorHello;
import org.baobabspar.supervise.SupervisedRun.Phase;

/**
 * Decides for one agent which runs its endpoint gets, keeps the endpoint's lease alive
 * and stops what has no owner. Example: an entry is cut off, its lease runs out after 350
 * ms, its runs are stopped, their room is free again when the endpoint lists their ends,
 * and the ends are sent when the entry is back.
 * <p>
 * Invariants: the room of all runs that may be present never exceeds the endpoint's
 * capacity; a run is started only while its entry's lease holds and the start is fresh; a
 * run is reported as refused only if it never began. Used on the control thread only.
 */
public final class RunSupervisor {

	/** An endpoint whose answer to a look is late by so much gets no new runs. */
	private static final long SILENT_MILLIS = 250;

	private static final long STOP_RETRY_MILLIS = 80;

	private static final long LOOK_RETRY_MILLIS = 20;

	/** How long a look waits for an end while runs need their lease renewed. */
	private static final long BUSY_WAIT_MILLIS = 150;

	/** How long a look waits for an end while nothing runs. */
	private static final long IDLE_WAIT_MILLIS = 400;

	private static final long FENCE_STEP = 10_000;

	/**
	 * A run whose percentage does not change for so long, or for this share of its
	 * expected run time, stands still. One on an endpoint that is eight times too slow
	 * gains a percent in less.
	 */
	private static final long STALL_MILLIS = 220;

	private static final double STALL_SHARE = 0.12;

	private static final int MAX_ENDS_LISTED = 500;

	/** Time between two records of the endpoint's speed; each call to the store costs. */
	private static final long MEMO_MILLIS = 5_000;

	/** Change of the speed, as a logarithm, that is worth a record. */
	private static final double MEMO_SPEED_CHANGE = 0.15;

	private final String agent;

	private final long incarnation;

	private final String domain;

	private final EndpointDriver driver;

	private final SupervisorOutbox outbox;

	private final Consumer<String> log;

	private final Owners owners;

	private final Map<String, SupervisedRun> runs = new LinkedHashMap<>();

	private final EndpointHealth health = new EndpointHealth();

	private EndpointReport endpoint;

	private EndpointCheckpoint recorded;

	private long recordedMillis;

	private Set<String> strays = new HashSet<>();

	private boolean looked;

	private boolean looking;

	private boolean probing;

	private boolean answered;

	private long lookAgainMillis;

	/** When the endpoint last answered, and how long its next answer may take. */
	private long lastAnswerMillis;

	private long lookWaitMillis = BUSY_WAIT_MILLIS;

	private long lastRenewalMillis;

	private long confirmedEnds;

	private long fence;

	private boolean draining;

	/**
	 * Create the supervisor of an agent.
	 * @param agent name of the agent
	 * @param incarnation its lifetime
	 * @param domain its failure domain
	 * @param firstFence first fencing token to try
	 * @param driver calls the endpoint
	 * @param outbox sends messages
	 * @param log takes lines for the log
	 */
	public RunSupervisor(String agent, long incarnation, String domain, long firstFence, EndpointDriver driver,
			SupervisorOutbox outbox, Consumer<String> log) {
		this.agent = agent;
		this.incarnation = incarnation;
		this.domain = domain;
		this.fence = firstFence;
		this.driver = driver;
		this.outbox = outbox;
		this.log = log;
		this.owners = new Owners(outbox, log);
	}

	// The endpoint

	/**
	 * Take a report of the endpoint.
	 * @param r the report
	 * @param nowMillis the time
	 */
	public void report(EndpointReport r, long nowMillis) {
		if (this.endpoint != null && this.looked && r.bornMillis() < this.endpoint.bornMillis()) {
			this.log.accept("ignored report=late endpoint=" + r.endpointId() + " born=" + r.bornMillis());
			return;
		}
		if (this.endpoint == null || r.bornMillis() != this.endpoint.bornMillis()
				|| !r.endpointId().equals(this.endpoint.endpointId())) {
			attach(r, nowMillis);
		}
		else if (r.sequence() > this.endpoint.sequence()) {
			boolean drains = r.draining() && !this.endpoint.draining();
			this.endpoint = r;
			if (drains) {
				this.log.accept("endpoint=" + r.endpointId() + " state=draining sequence=" + r.sequence());
			}
		}
		this.owners.stateChanged();
	}

	/**
	 * Take up what an earlier lifetime of this agent has stored of its endpoint, so that
	 * a restarted agent need not wait for a report. The endpoint is used once it has
	 * answered as that lifetime.
	 * @param memo what was stored
	 * @param nowMillis the time
	 */
	public void restore(EndpointCheckpoint memo, long nowMillis) {
		this.recorded = memo;
		EndpointReport r = memo.report();
		this.log.accept("endpoint=" + r.endpointId() + " born=" + r.bornMillis() + " state=remembered speed="
				+ memo.baselineSpeed());
		if (this.endpoint == null) {
			attach(r, nowMillis);
		}
		if (sameHardware(r, this.endpoint) && !this.health.speedKnown()) {
			this.health.reset(memo.baselineSpeed());
		}
	}

	private static boolean sameHardware(EndpointReport a, EndpointReport b) {
		return a.capacity().equals(b.capacity()) && a.labels().equals(b.labels());
	}

	/**
	 * Give what should be stored of the endpoint, if that has changed.
	 * @param nowMillis the time
	 * @return what to store, empty if nothing new is worth it
	 */
	public Optional<EndpointCheckpoint> checkpoint(long nowMillis) {
		if (this.endpoint == null || (this.recorded != null && !news(nowMillis))) {
			return Optional.empty();
		}
		this.recorded = new EndpointCheckpoint(this.endpoint, this.health.baselineSpeed());
		this.recordedMillis = nowMillis;
		return Optional.of(this.recorded);
	}

	private boolean news(long nowMillis) {
		double change = Math.abs(Math.log(this.health.baselineSpeed() / this.recorded.baselineSpeed()));
		return this.recorded.report().bornMillis() != this.endpoint.bornMillis() || (this.health.speedKnown()
				&& change > MEMO_SPEED_CHANGE && nowMillis - this.recordedMillis > MEMO_MILLIS);
	}

	/**
	 * Take up another lifetime. One under the same id may have carried out orders that
	 * were meant for the last, so its list tells which runs are gone; the higher fencing
	 * token keeps out orders that are still under way.
	 * @param r the lifetime
	 * @param nowMillis the time
	 */
	private void attach(EndpointReport r, long nowMillis) {
		this.log.accept("endpoint=" + r.endpointId() + " born=" + r.bornMillis() + " service=" + r.service()
				+ " state=attached");
		if (this.endpoint != null && r.endpointId().equals(this.endpoint.endpointId())) {
			this.runs.values().forEach((run) -> run.carryOver(nowMillis));
		}
		else {
			loseAll("new_endpoint", nowMillis);
		}
		double speed = (this.endpoint != null && sameHardware(r, this.endpoint)) ? this.health.baselineSpeed() : 1;
		this.strays = new HashSet<>();
		this.endpoint = r;
		this.fence++;
		this.looked = false;
		this.answered = false;
		this.confirmedEnds = 0;
		this.health.reset(speed);
		this.lastAnswerMillis = nowMillis;
		this.driver.attach(r);
		this.looking = false;
		look(nowMillis);
	}

	/**
	 * Take the endpoint's word that it is gone.
	 * @param endpointId the endpoint
	 * @param nowMillis the time
	 */
	public void deregistered(String endpointId, long nowMillis) {
		if (this.endpoint != null && this.endpoint.endpointId().equals(endpointId)) {
			this.log.accept("endpoint=" + endpointId + " state=left");
			this.endpoint = new EndpointReport(endpointId, this.endpoint.bornMillis(), Long.MAX_VALUE,
					this.endpoint.service(), this.endpoint.capacity(), this.endpoint.labels(), true);
			this.owners.stateChanged();
		}
	}

	private void look(long nowMillis) {
		if (this.looking || this.endpoint == null) {
			return;
		}
		this.looking = true;
		if (!this.answered) {
			this.driver.poll(0, this.confirmedEnds, 0, this.fence);
		}
		else if (this.runs.isEmpty()) {
			this.lookWaitMillis = IDLE_WAIT_MILLIS;
			this.driver.poll(0, this.confirmedEnds, IDLE_WAIT_MILLIS, this.fence);
		}
		else {
			this.lookWaitMillis = BUSY_WAIT_MILLIS;
			this.lastRenewalMillis = nowMillis;
			this.driver.poll(LeaseTimes.ENDPOINT_LEASE_MILLIS, this.confirmedEnds, BUSY_WAIT_MILLIS, this.fence);
		}
	}

	/**
	 * Ask at once, beside the look that waits for an end, whether runs whose starts got
	 * no answer are present.
	 */
	private void probe() {
		if (!this.probing && this.runs.values().stream().anyMatch((r) -> r.phase == Phase.UNCERTAIN)) {
			this.probing = true;
			this.driver.probe(this.confirmedEnds, this.fence);
		}
	}

	/**
	 * Take the answer to a probe.
	 * @param answer the answer, empty if there was none
	 * @param nowMillis the time
	 */
	public void probeAnswered(Optional<RunInventory> answer, long nowMillis) {
		this.probing = false;
		answer.filter(this::current).ifPresent((o) -> take(o, nowMillis));
	}

	private boolean current(RunInventory o) {
		return this.endpoint != null && o.bornMillis() == this.endpoint.bornMillis();
	}

	private void take(RunInventory o, long nowMillis) {
		this.lastAnswerMillis = nowMillis;
		takeEnds(o, nowMillis);
		takePresent(o, nowMillis);
	}

	/**
	 * Take the answer to a look.
	 * @param o the answer
	 * @param nowMillis the time
	 */
	public void pollAnswered(RunInventory o, long nowMillis) {
		this.looking = false;
		if (!current(o)) {
			return;
		}
		boolean wasUsable = !silent(nowMillis) && this.answered && this.strays.isEmpty();
		this.answered = true;
		take(o, nowMillis);
		this.looked = true;
		if (!wasUsable && this.strays.isEmpty()) {
			this.log.accept("endpoint=" + this.endpoint.endpointId() + " state=answering");
			this.owners.stateChanged();
		}
		look(nowMillis);
	}

	private void takeEnds(RunInventory o, long nowMillis) {
		for (EndedRun e : o.ended()) {
			if (e.sequence() <= this.confirmedEnds) {
				continue;
			}
			this.confirmedEnds = e.sequence();
			SupervisedRun r = this.runs.get(e.task());
			if (r != null && r.is(e.task(), e.number())) {
				r.confirm(nowMillis);
				finish(r, e.end(), nowMillis);
			}
		}
	}

	private void takePresent(RunInventory o, long nowMillis) {
		Set<String> present = new HashSet<>();
		Set<String> unknown = new HashSet<>();
		for (PresentRun p : o.present()) {
			SupervisedRun r = this.runs.get(p.task());
			if (r != null && r.is(p.task(), p.number())) {
				present.add(p.task());
				r.confirm(nowMillis);
				judge(r, p.percent(), nowMillis);
			}
			else {
				unknown.add(p.task());
				this.log.accept("stop run=" + p.task() + "#" + p.number() + " reason=unknown_run");
				this.driver.stop(p.task(), p.number(), this.fence);
			}
		}
		this.strays = unknown;
		boolean all = o.ended().size() < MAX_ENDS_LISTED;
		for (SupervisedRun r : List.copyOf(this.runs.values())) {
			if (all && !present.contains(r.key.task())) {
				absent(r, o.sentMillis(), nowMillis);
			}
		}
	}

	/**
	 * Learn from how far a run is: one that stands still is stopped, so that it can start
	 * elsewhere, and one that is behind shows that the endpoint has become slow.
	 * @param r the run
	 * @param percent how far it is
	 * @param nowMillis the time
	 */
	private void judge(SupervisedRun r, int percent, long nowMillis) {
		if (r.phase != Phase.RUNNING) {
			return;
		}
		if (percent != r.percent || !r.observed) {
			r.progress(percent, nowMillis);
			r.pace().ifPresent((pace) -> this.health.behind(pace, nowMillis));
		}
		else if (nowMillis - r.progressMillis > Math.max(STALL_MILLIS, STALL_SHARE * r.expectedMillis)) {
			this.health.stalled(r, nowMillis);
			stop(r, nowMillis, "stalled_at_percent_" + r.percent);
			this.owners.stateChanged();
		}
	}

	/**
	 * Take a run that the endpoint lists neither as present nor as ended. That means
	 * something only if the look was sent after the start or the stop was confirmed.
	 * @param r the run
	 * @param sentMillis when the look was sent
	 * @param nowMillis the time
	 */
	private void absent(SupervisedRun r, long sentMillis, long nowMillis) {
		switch (r.phase) {
			case RUNNING -> {
				if (sentMillis > r.confirmedMillis) {
					finish(r, RunEnd.LOST, nowMillis);
				}
			}
			case STOPPING -> {
				if (r.stopConfirmedMillis > 0 && sentMillis >= r.stopConfirmedMillis) {
					finish(r, r.seen ? RunEnd.STOPPED : RunEnd.NUMBER_USED, nowMillis);
				}
			}
			case UNCERTAIN -> stop(r, nowMillis, "start_unanswered");
			case STARTING -> {
				// Its answer is still to come.
			}
		}
	}

	/**
	 * Take it that a look got no answer.
	 * @param nowMillis the time
	 */
	public void pollFailed(long nowMillis) {
		this.looking = false;
		this.answered = false;
		this.lookAgainMillis = nowMillis + LOOK_RETRY_MILLIS;
	}

	/**
	 * Take it that the endpoint does not even take connections: it gets no new runs until
	 * it answers again.
	 * @param nowMillis the time
	 */
	public void unreachable(long nowMillis) {
		if (!silent(nowMillis)) {
			this.log.accept("endpoint=" + this.endpoint.endpointId() + " state=unreachable");
			this.lastAnswerMillis = nowMillis - this.lookWaitMillis - SILENT_MILLIS - 1;
			this.owners.stateChanged();
		}
	}

	/**
	 * Take it that the endpoint knows a higher fencing token.
	 * @param nowMillis the time
	 */
	public void fenced(long nowMillis) {
		this.fence += FENCE_STEP;
		this.log.accept("fence=" + this.fence + " reason=refused");
		pollFailed(nowMillis);
	}

	/**
	 * Take it that another lifetime answered in the place of the endpoint.
	 * @param nowMillis the time
	 */
	public void otherIncarnation(long nowMillis) {
		if (this.endpoint != null) {
			loseAll("other_lifetime", nowMillis);
			this.looked = false;
		}
		pollFailed(nowMillis);
		this.owners.stateChanged();
	}

	// Runs

	/**
	 * Take an order to start a run.
	 * @param link the link that it came on
	 * @param m the order
	 * @param nowMillis the time, by a clock that counts suspended time, too
	 */
	public void start(String link, RunStart m, long nowMillis) {
		Owner owner = this.owners.of(link).orElse(null);
		if (owner == null) {
			return;
		}
		owner.lastStartSequence = m.sequence();
		Optional<String> refusal = refusal(owner, m, nowMillis);
		if (refusal.isPresent()) {
			this.log.accept("refuse run=" + m.run().task() + "#" + m.run().number() + " entry=" + owner.name
					+ " reason=" + refusal.get());
			this.owners.end(owner, m.run(), RunEnd.REFUSED, 0);
			return;
		}
		SupervisedRun r = new SupervisedRun(m.run(), owner, m.resources(), m.expectedMillis(), nowMillis);
		this.runs.put(m.run().task(), r);
		this.lastRenewalMillis = nowMillis;
		this.driver.start(m.run(), m.payload(), LeaseTimes.ENDPOINT_LEASE_MILLIS, this.fence);
		this.owners.roomChanged();
	}

	private Optional<String> refusal(Owner owner, RunStart m, long nowMillis) {
		if (nowMillis - m.agentClockMillis() > LeaseTimes.ENTRY_LEASE_MILLIS) {
			return Optional.of("late_ms_" + (nowMillis - m.agentClockMillis()));
		}
		if (!owner.leased(nowMillis)) {
			return Optional.of("no_lease");
		}
		if (owner.retiring) {
			return Optional.of("link_retiring");
		}
		EndpointState s = state(nowMillis);
		if (s == EndpointState.DRAINING || s == EndpointState.SILENT) {
			return Optional.of(s.name());
		}
		if (this.runs.values().stream().anyMatch((r) -> r.owner != owner && r.key.jobId().equals(m.run().jobId()))
				|| this.runs.containsKey(m.run().task())) {
			return Optional.of("job_present");
		}
		if (s == EndpointState.SUSPECT) {
			return Optional.of("endpoint_suspect");
		}
		return m.resources().fitsInto(offered(nowMillis)) ? Optional.empty() : Optional.of("no_room");
	}

	/**
	 * Take the endpoint's answer to a start.
	 * @param run the run
	 * @param a the answer
	 * @param nowMillis the time
	 */
	public void startAnswered(RunKey run, StartAnswer a, long nowMillis) {
		SupervisedRun r = this.runs.get(run.task());
		if (a == StartAnswer.FENCED) {
			this.fence += FENCE_STEP;
		}
		if (r == null || !r.key.equals(run)) {
			return;
		}
		if (a == StartAnswer.STARTED) {
			r.confirm(nowMillis);
		}
		else if (a == StartAnswer.UNKNOWN) {
			this.log.accept("unanswered run=" + run.task() + "#" + run.number());
			if (r.phase == Phase.STARTING) {
				r.phase = Phase.UNCERTAIN;
				probe();
			}
		}
		else {
			if (a == StartAnswer.NOT_SENT) {
				unreachable(nowMillis);
			}
			this.log.accept("refused run=" + run.task() + "#" + run.number() + " answer=" + a);
			finish(r, a.end().orElseThrow(), nowMillis);
		}
	}

	/**
	 * Take an order to stop a run.
	 * @param link the link that it came on
	 * @param run the run
	 * @param nowMillis the time
	 */
	public void stop(String link, RunKey run, long nowMillis) {
		SupervisedRun r = this.runs.get(run.task());
		if (r != null && r.key.equals(run)) {
			stop(r, nowMillis, "asked");
		}
	}

	private void stop(SupervisedRun r, long nowMillis, String reason) {
		if (r.phase != Phase.STOPPING) {
			this.log.accept("stop run=" + r.key.task() + "#" + r.key.number() + " reason=" + reason);
			r.phase = Phase.STOPPING;
			sendStop(r, nowMillis);
		}
	}

	private void sendStop(SupervisedRun r, long nowMillis) {
		r.stopSentMillis = nowMillis;
		this.driver.stop(r.key.task(), r.key.number(), this.fence);
	}

	/**
	 * Take the endpoint's confirmation of a stop.
	 * @param task the task
	 * @param number number of the run
	 * @param nowMillis the time
	 */
	public void stopConfirmed(String task, long number, long nowMillis) {
		SupervisedRun r = this.runs.get(task);
		if (r != null && r.is(task, number) && r.phase == Phase.STOPPING && r.stopConfirmedMillis == 0) {
			r.stopConfirmedMillis = nowMillis;
		}
	}

	private void finish(SupervisedRun r, RunEnd end, long nowMillis) {
		this.runs.remove(r.key.task());
		long ran = r.seen ? nowMillis - r.startedMillis : 0;
		this.health.ended(r, end, ran, nowMillis);
		if (end != RunEnd.DONE) {
			this.log.accept("ended run=" + r.key.task() + "#" + r.key.number() + " entry=" + r.owner.name + " end="
					+ end + " ran_ms=" + ran + " expected_ms=" + r.expectedMillis);
		}
		this.owners.end(r.owner, r.key, end, ran);
		this.owners.roomChanged();
	}

	private void loseAll(String reason, long nowMillis) {
		if (!this.runs.isEmpty()) {
			this.log.accept("lost runs=" + this.runs.size() + " reason=" + reason);
		}
		for (SupervisedRun r : List.copyOf(this.runs.values())) {
			finish(r, RunEnd.LOST, nowMillis);
		}
	}

	// Entries

	/**
	 * Take the welcome of an entry: from now on the link speaks for that lifetime.
	 * @param link the link
	 * @param m the welcome
	 * @param nowMillis the time
	 */
	public void welcomed(String link, EntryWelcome m, long nowMillis) {
		Owner o = this.owners.welcomed(link, m);
		this.outbox.send(link, new SupervisorHello(this.agent, this.incarnation, this.domain, status(o, nowMillis),
				runsOf(o), m.linkNumber()));
		o.unconfirmed().forEach((e) -> this.outbox.send(link, e));
		this.owners.request(o, status(o, nowMillis), nowMillis);
	}

	private List<RunKey> runsOf(Owner o) {
		return this.runs.values().stream().filter((r) -> r.owner == o).map((r) -> r.key).toList();
	}

	/**
	 * Take the end of a link.
	 * @param link the link
	 */
	public void unlinked(String link) {
		this.owners.unlinked(link);
	}

	/**
	 * Take a grant of an entry.
	 * @param link the link
	 * @param m the grant
	 */
	public void granted(String link, LeaseGrant m) {
		this.owners.granted(link, m);
	}

	/**
	 * Take no more runs on a link that is no longer wanted.
	 * @param link the link
	 */
	public void retire(String link) {
		this.owners.of(link).filter((o) -> !o.retiring).ifPresent((o) -> {
			this.log.accept("entry=" + o.name + " state=retiring");
			o.retiring = true;
			o.statusUrgent = true;
		});
	}

	/**
	 * Tell whether a link can be closed.
	 * @param link the link
	 * @return whether no run of its entry may be present
	 */
	public boolean canClose(String link) {
		return this.owners.of(link).filter(this::busy).isEmpty();
	}

	private boolean busy(Owner o) {
		return this.runs.values().stream().anyMatch((r) -> r.owner == o);
	}

	/**
	 * Send the changes of the endpoint's status that have come together. Called after
	 * each batch of events.
	 * @param nowMillis the time
	 */
	public void flush(long nowMillis) {
		this.owners.flush((o) -> status(o, nowMillis), idle(), nowMillis);
	}

	// Time

	/**
	 * Do what is due.
	 * @param nowMillis the time
	 */
	public void tick(long nowMillis) {
		for (SupervisedRun r : List.copyOf(this.runs.values())) {
			check(r, nowMillis);
		}
		this.owners.forget(this::busy, nowMillis);
		probe();
		if (!this.looking && nowMillis >= this.lookAgainMillis) {
			look(nowMillis);
		}
		if (!this.runs.isEmpty() && silent(nowMillis)
				&& nowMillis - this.lastRenewalMillis > LeaseTimes.ENDPOINT_EXPIRY_MILLIS) {
			loseAll("endpoint_silent", nowMillis);
		}
	}

	private void check(SupervisedRun r, long nowMillis) {
		if (r.phase == Phase.STOPPING) {
			if (r.stopConfirmedMillis == 0 && nowMillis - r.stopSentMillis >= STOP_RETRY_MILLIS) {
				sendStop(r, nowMillis);
			}
			return;
		}
		if (!r.owner.leased(nowMillis)) {
			stop(r, nowMillis, "lease_lapsed");
		}
	}

	// Status

	/**
	 * Stop taking runs, since the agent is about to end.
	 */
	public void drain() {
		this.draining = true;
		this.owners.stateChanged();
	}

	/**
	 * Tell whether nothing runs.
	 * @return whether no run may be present
	 */
	public boolean idle() {
		return this.runs.isEmpty();
	}

	private boolean silent(long nowMillis) {
		return !this.looked || nowMillis - this.lastAnswerMillis > this.lookWaitMillis + SILENT_MILLIS;
	}

	private EndpointState state(long nowMillis) {
		if (this.endpoint == null || silent(nowMillis) || !this.strays.isEmpty()) {
			return EndpointState.SILENT;
		}
		if (this.draining || this.endpoint.draining()) {
			return EndpointState.DRAINING;
		}
		return this.health.aside(nowMillis) ? EndpointState.SUSPECT : EndpointState.READY;
	}

	private Resources free() {
		Resources free = this.endpoint.capacity();
		for (SupervisedRun r : this.runs.values()) {
			free = free.minus(r.room);
		}
		return free;
	}

	/**
	 * Give the room that new runs may take. An endpoint that was set aside is tried with
	 * one run at a time until one has done its work.
	 * @param nowMillis the time
	 * @return the room
	 */
	private Resources offered(long nowMillis) {
		return (this.health.onTrial() && !this.runs.isEmpty()) ? Resources.NONE : free();
	}

	private EndpointStatus status(Owner o, long nowMillis) {
		EndpointStatus s = status(o.lastStartSequence, nowMillis);
		return o.retiring ? s.withState(EndpointState.DRAINING) : s;
	}

	/**
	 * Describe the endpoint to an entry.
	 * @param lastStartSequence the last start of that entry
	 * @param nowMillis the time
	 * @return the status
	 */
	public EndpointStatus status(long lastStartSequence, long nowMillis) {
		if (this.endpoint == null) {
			return new EndpointStatus("", "", EndpointState.SILENT, Resources.NONE, Resources.NONE, List.of(), 1,
					lastStartSequence);
		}
		return new EndpointStatus(this.endpoint.endpointId(), this.endpoint.service(), state(nowMillis),
				this.endpoint.capacity(), offered(nowMillis), this.endpoint.labels(), this.health.speed(nowMillis),
				lastStartSequence);
	}

}
