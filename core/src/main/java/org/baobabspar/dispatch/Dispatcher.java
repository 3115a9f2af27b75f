package org.baobabspar.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.baobabspar.dispatch.DispatchedTask.State;
import org.baobabspar.dispatch.PreviousRun.Proof;
import org.baobabspar.fleet.ClaimedJob;
import org.baobabspar.fleet.DomainDrains;
import org.baobabspar.fleet.DrainGossip;
import org.baobabspar.fleet.JobSubmission;
import org.baobabspar.fleet.Route;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.message.CancelNotice;
import org.baobabspar.message.CancelReply;
import org.baobabspar.message.DrainNotice;
import org.baobabspar.message.JobClaim;
import org.baobabspar.message.JobClaimReply;
import org.baobabspar.message.LeaseGrant;
import org.baobabspar.message.LeaseRequest;
import org.baobabspar.message.RunEnded;
import org.baobabspar.message.RunStop;
import org.baobabspar.message.SupervisorHello;

/**
 * Dispatches the jobs of one entry to the agents that are linked to it, and answers the
 * callers.
 * <p>
 * Jobs are held in memory only, until their callers have the answer. If the entry dies,
 * the callers submit their jobs again, and by the time of this retry the leases of all
 * earlier runs have expired.
 * <p>
 * Invariants: a job is refused only if none of its tasks has started and none will; a
 * task is dispatched again only when its previous run is known to have ended, and not
 * while an agent lists a run of it. Not thread-safe; used on the control thread only.
 */
public final class Dispatcher {

	/**
	 * Limit on the number of jobs held at a time, which protects the entry against a
	 * flood of submissions. Further jobs are refused.
	 */
	private static final int MAX_JOBS = 2_000;

	/**
	 * Limit on the number of tasks of these jobs, which bounds their memory to about 15
	 * MB. The first job is accepted whatever its size.
	 */
	private static final int MAX_TASKS = 50_000;

	private static final long RETRY_AFTER_SECONDS = 1;

	/** The runs of the job were given up, and another entry may run it. */
	private static final JobReply SUPERSEDED = new JobReply(JobOutcome.UNKNOWN, "superseded", RETRY_AFTER_SECONDS);

	private static final JobReply CANCELLED = new JobReply(JobOutcome.FAILED, "cancelled", 0);

	private final DispatchOutbox outbox;

	private final RunTimeModel runTimeModel = new RunTimeModel();

	private final Map<String, DispatchedJob> jobs = new LinkedHashMap<>();

	private int heldTasks;

	private final RetainedAnswers answers = new RetainedAnswers();

	private final AgentRegistry agents;

	private final JobPlacer placer;

	private final JobCancellations cancellations;

	private final JobClaims claims;

	private final DrainGossip drains;

	private final SuspensionReview suspensions = new SuspensionReview();

	/**
	 * Creates the dispatcher of an entry.
	 * @param domain the failure domain of the entry
	 * @param outbox carries out the decisions of the dispatcher
	 */
	public Dispatcher(String domain, DispatchOutbox outbox) {
		this.outbox = outbox;
		this.agents = new AgentRegistry(outbox);
		this.cancellations = new JobCancellations(outbox::send, this::closeCancelled);
		this.claims = new JobClaims(outbox);
		this.placer = new JobPlacer(domain, this.agents, outbox, this::decline);
		this.drains = new DrainGossip((link, known) -> outbox.send(link, new DrainNotice(known)));
	}

	// Jobs

	/**
	 * Submits a job whose caller is known to have sent the request just now.
	 * @param order the job
	 * @param route the route of the job
	 * @param timeoutMillis the time for which the caller still waits; not positive if it
	 * waits no longer
	 * @param caller receives the answer, exactly once
	 * @param nowMillis the current time
	 */
	public void submit(JobSubmission order, Route route, long timeoutMillis, Consumer<JobReply> caller,
			long nowMillis) {
		submit(order, route, timeoutMillis, true, caller, nowMillis);
	}

	/**
	 * Submits a job. A job that is known already is answered from the retained answers or
	 * gets the caller added.
	 * @param order the job
	 * @param route the route of the job
	 * @param timeoutMillis the time for which the caller still waits; not positive if it
	 * waits no longer
	 * @param fresh whether the caller is known to have sent the request just now. If it
	 * is not, it may have turned to another entry since, and the job is claimed first
	 * @param caller receives the answer, exactly once
	 * @param nowMillis the current time
	 */
	public void submit(JobSubmission order, Route route, long timeoutMillis, boolean fresh, Consumer<JobReply> caller,
			long nowMillis) {
		Optional<RetainedAnswers.Answer> known = this.answers.find(order.id());
		if (known.isPresent()) {
			JobReply reply = known.get().reply();
			this.outbox.log("job=" + order.id() + " answer=repeated outcome=" + reply.outcome() + " answered_ms_ago="
					+ (nowMillis - known.get().answeredMillis()));
			caller.accept(reply);
			return;
		}
		if (this.cancellations.isCancelled(order.id())) {
			this.outbox.log("job=" + order.id() + " answer=cancelled");
			caller.accept(CANCELLED);
			return;
		}
		DispatchedJob job = this.jobs.get(order.id());
		if (job != null) {
			rejoin(job, timeoutMillis, fresh, caller, nowMillis);
			return;
		}
		Optional<String> refusal = (timeoutMillis > 0) ? refusalReason(order, route, nowMillis)
				: Optional.of("deadline");
		if (refusal.isPresent()) {
			JobReply reply = new JobReply(JobOutcome.REFUSED, refusal.get(), RETRY_AFTER_SECONDS);
			this.outbox
				.log("job=" + order.id() + " route=" + route.name() + " outcome=REFUSED reason=" + refusal.get());
			this.outbox.recordJobEnd(route.name(), reply, 0);
			caller.accept(reply);
			return;
		}
		job = new DispatchedJob(order, route, this.runTimeModel, this.agents::hasUnwantedRun, nowMillis,
				nowMillis + timeoutMillis);
		job.callers.add(caller);
		this.jobs.put(order.id(), job);
		this.heldTasks += job.tasks.size();
		claimIfNeeded(job, fresh, nowMillis);
	}

	/**
	 * Lets a job that nothing has been started of wait for its claim if another entry may
	 * have it.
	 * @param job the job
	 * @param fresh whether its caller is known to have sent the request just now
	 * @param nowMillis the current time
	 */
	private void claimIfNeeded(DispatchedJob job, boolean fresh, long nowMillis) {
		job.fresh = fresh;
		if (!fresh) {
			this.claims.require(job, "request_may_be_old", nowMillis);
		}
		else if (this.claims.isClaimedElsewhere(job.order.id())) {
			this.claims.require(job, "claimed_elsewhere", nowMillis);
		}
	}

	private Optional<String> refusalReason(JobSubmission order, Route route, long nowMillis) {
		if (!route.refusal().isEmpty()) {
			return Optional.of(route.refusal());
		}
		boolean tooManyTasks = this.heldTasks > 0 && this.heldTasks + order.taskCount() > MAX_TASKS;
		if (this.jobs.size() >= MAX_JOBS || tooManyTasks) {
			return Optional.of("entry_full");
		}
		List<AgentView> usable = this.agents.usable(route, nowMillis);
		boolean fits = usable.isEmpty() || order.steps()
			.stream()
			.allMatch((s) -> usable.stream().anyMatch((a) -> s.resources().fitsInto(a.status.capacity())));
		return fits ? Optional.empty() : Optional.of("never_fits");
	}

	/**
	 * Adds a caller to a job that it or another caller submitted before, and reopens the
	 * job if it was closed. The job lasts until the latest deadline of its callers, whose
	 * requests may be read in another order than they were sent. A caller that waits no
	 * longer changes nothing.
	 * @param job the job
	 * @param timeoutMillis the time for which the caller still waits
	 * @param fresh whether the caller is known to have sent the request just now
	 * @param caller receives the answer
	 * @param nowMillis the current time
	 */
	private void rejoin(DispatchedJob job, long timeoutMillis, boolean fresh, Consumer<JobReply> caller,
			long nowMillis) {
		this.outbox.log("job=" + job.order.id() + " answer=rejoined given_up=" + job.closed + " runs="
				+ job.outstandingRuns + " timeout_ms=" + timeoutMillis);
		if (timeoutMillis <= 0) {
			caller.accept(new JobReply(JobOutcome.UNKNOWN, "deadline", RETRY_AFTER_SECONDS));
			return;
		}
		job.origin = "rejoined";
		job.callers.add(caller);
		long deadlineMillis = nowMillis + timeoutMillis;
		if (job.closed) {
			job.closed = false;
			job.receivedMillis = nowMillis;
			job.deadlineMillis = deadlineMillis;
			claimIfNeeded(job, fresh, nowMillis);
		}
		else {
			job.fresh |= fresh;
			job.deadlineMillis = Math.max(job.deadlineMillis, deadlineMillis);
		}
	}

	/**
	 * Removes a caller that has disconnected, and closes its job if no other caller
	 * waits.
	 * @param id the id of the job
	 * @param caller the caller
	 * @param nowMillis the current time
	 * @return whether the caller was waiting for the job
	 */
	public boolean abandon(String id, Consumer<JobReply> caller, long nowMillis) {
		DispatchedJob job = this.jobs.get(id);
		if (job == null || !job.callers.remove(caller)) {
			return false;
		}
		if (job.callers.isEmpty()) {
			this.outbox.log("job=" + id + " outcome=abandoned age_ms=" + (nowMillis - job.receivedMillis));
			close(job);
		}
		return true;
	}

	/**
	 * Cancels a job at the request of its caller, whichever entry holds it.
	 * @param id the id of the job
	 * @param caller receives the outcome, exactly once
	 * @param nowMillis the current time
	 */
	public void cancel(String id, Consumer<CancelOutcome> caller, long nowMillis) {
		this.cancellations.cancel(id, caller, nowMillis);
	}

	private boolean closeCancelled(String id, long nowMillis) {
		DispatchedJob job = this.jobs.get(id);
		if (job == null) {
			return this.answers.find(id).isPresent();
		}
		if (!job.closed) {
			answer(job, CANCELLED, nowMillis);
		}
		return true;
	}

	/**
	 * Handles a notice of jobs that were cancelled at another entry.
	 * @param link the link of the agent that passed it on
	 * @param notice the notice
	 * @param nowMillis the current time
	 */
	public void handleCancelNotice(String link, CancelNotice notice, long nowMillis) {
		this.cancellations.handleNotice(link, notice, nowMillis);
	}

	/**
	 * Handles the confirmation of a notice of this entry.
	 * @param link the link of the agent
	 * @param reply the confirmation
	 */
	public void handleCancelReply(String link, CancelReply reply) {
		this.cancellations.handleReply(link, reply);
	}

	/**
	 * Handles the claim of another entry, which an agent passes on.
	 * @param link the link of the agent
	 * @param claim the claim
	 * @param nowMillis the current time
	 */
	public void handleJobClaim(String link, JobClaim claim, long nowMillis) {
		this.claims.remember(claim, nowMillis);
		if (claim.sequence() > 0) {
			List<String> held = claim.jobs()
				.stream()
				.filter((claimed) -> holds(claimed, claim.precedes(), nowMillis))
				.map(ClaimedJob::jobId)
				.toList();
			this.outbox.send(link, new JobClaimReply(claim.sequence(), true, held));
		}
	}

	/**
	 * Returns whether this entry holds a job that another one claims, and gives it up if
	 * the claimant has the better right. A fresh request is newer than one that may be
	 * old. Among two of the same kind, a job of which nothing has been started goes to
	 * the claimant that precedes.
	 * @param claimed the job
	 * @param precedes whether the claimant goes first if both have the same right
	 * @param nowMillis the current time
	 * @return whether runs of this entry may be present or the claimant has to wait
	 */
	private boolean holds(ClaimedJob claimed, boolean precedes, long nowMillis) {
		DispatchedJob job = this.jobs.get(claimed.jobId());
		if (job == null || job.closed) {
			return job != null;
		}
		boolean newer = claimed.fresh() && !job.fresh;
		boolean unstarted = job.awaitsClaim && job.outstandingRuns == 0;
		boolean yields = newer || (unstarted && precedes && claimed.fresh() == job.fresh);
		this.outbox.log("job=" + claimed.jobId() + " claim=foreign yields=" + yields + " fresh=" + job.fresh
				+ " claimant_fresh=" + claimed.fresh() + " runs=" + job.outstandingRuns);
		if (!yields) {
			return true;
		}
		if (unstarted) {
			this.claims.giveWay(job, nowMillis);
		}
		else {
			answer(job, SUPERSEDED, nowMillis);
		}
		return job.outstandingRuns > 0;
	}

	/**
	 * Handles the answer of an agent to a claim of this entry.
	 * @param link the link of the agent
	 * @param reply the answer
	 * @param nowMillis the current time
	 */
	public void handleJobClaimReply(String link, JobClaimReply reply, long nowMillis) {
		this.claims.handleReply(link, reply, nowMillis);
	}

	/**
	 * Declines all open jobs. Called after this process has stalled, since the callers
	 * may have turned to another entry, and before it exits.
	 * @param reason the reason given to the callers
	 * @param nowMillis the current time
	 */
	public void declineAll(String reason, long nowMillis) {
		this.outbox.log("declining jobs=" + this.jobs.size() + " reason=" + reason);
		for (DispatchedJob job : List.copyOf(this.jobs.values())) {
			if (!job.closed) {
				decline(job, reason, nowMillis);
			}
		}
	}

	private void decline(DispatchedJob job, String reason, long nowMillis) {
		JobOutcome outcome = job.mayHaveStarted() ? JobOutcome.UNKNOWN : JobOutcome.REFUSED;
		answer(job, new JobReply(outcome, reason, RETRY_AFTER_SECONDS), nowMillis);
	}

	private void answer(DispatchedJob job, JobReply reply, long nowMillis) {
		long ageMillis = nowMillis - job.receivedMillis;
		this.outbox.log("job=" + job.order.id() + " route=" + job.route.name() + " tasks=" + job.tasks.size()
				+ " outcome=" + reply.outcome() + " reason=" + reply.reason() + " age_ms=" + ageMillis + " waited_ms="
				+ ((job.firstDispatchMillis > 0) ? job.firstDispatchMillis - job.receivedMillis : ageMillis)
				+ " objective_ms=" + Math.round(job.objectiveMillis()));
		this.outbox.recordJobEnd(job.route.name(), reply, ageMillis);
		List<Consumer<JobReply>> callers = job.callers;
		job.callers = new ArrayList<>();
		if (reply.outcome() == JobOutcome.COMPLETED || reply.outcome() == JobOutcome.FAILED) {
			this.answers.add(job.order.id(), reply, nowMillis);
		}
		close(job);
		callers.forEach((c) -> c.accept(reply));
	}

	private void close(DispatchedJob job) {
		job.closed = true;
		this.claims.withdraw(job);
		for (DispatchedTask task : job.tasks) {
			if (task.state == State.DISPATCHED && task.agent.link != null) {
				this.outbox.send(task.agent.link, new RunStop(task.runKey()));
			}
		}
		removeIfEnded(job);
	}

	private void removeIfEnded(DispatchedJob job) {
		if (job.closed && job.outstandingRuns == 0 && this.jobs.remove(job.order.id()) != null) {
			this.heldTasks -= job.tasks.size();
		}
	}

	/**
	 * Counts the open jobs of a route of which no task has started.
	 * @param route the name of the route
	 * @return the number of jobs
	 */
	public long pendingJobCount(String route) {
		return this.jobs.values()
			.stream()
			.filter((j) -> !j.closed && !j.mayHaveStarted() && j.route.name().equals(route))
			.count();
	}

	/**
	 * Counts the jobs whose callers wait for the answer.
	 * @return the number of jobs
	 */
	public long openJobCount() {
		return this.jobs.values().stream().filter((j) -> !j.closed).count();
	}

	/**
	 * Tells whether there is nothing to do.
	 * @return whether no job is open or has outstanding runs, and none is being cancelled
	 */
	public boolean idle() {
		return this.jobs.isEmpty() && this.cancellations.idle();
	}

	/**
	 * Tells whether any endpoint accepts runs.
	 * @param nowMillis the current time
	 * @return whether a job could be placed
	 */
	public boolean servable(long nowMillis) {
		return this.agents.anyUsable(nowMillis);
	}

	// Agents

	/**
	 * Registers a new link from an agent.
	 * @param link the link
	 * @return the number of the link, to be sent in the welcome
	 */
	public long registerLink(String link) {
		return this.agents.registerLink(link);
	}

	/**
	 * Handles the hello of an agent. Runs that it lists and that are not wanted are
	 * stopped.
	 * @param link the link
	 * @param hello the hello
	 * @param nowMillis the current time
	 */
	public void handleHello(String link, SupervisorHello hello, long nowMillis) {
		this.agents.handleHello(link, hello, nowMillis);
		this.cancellations.linked(link, nowMillis);
		this.drains.linked(link);
	}

	/**
	 * Handles a lease request: updates the status of the agent and grants the lease.
	 * @param link the link
	 * @param request the request
	 * @param nowMillis the current time
	 */
	public void handleLeaseRequest(String link, LeaseRequest request, long nowMillis) {
		this.agents.find(link).ifPresent((agent) -> handleLeaseRequest(agent, request, nowMillis));
	}

	private void handleLeaseRequest(AgentView agent, LeaseRequest request, long nowMillis) {
		if (agent.status.state() != request.status().state()) {
			this.outbox.log("agent=" + agent.name + " endpoint=" + request.status().endpointId() + " state="
					+ request.status().state() + " speed=" + request.status().speed());
		}
		detectSuspension(agent, request, nowMillis);
		agent.updateStatus(request.status(), nowMillis);
		agent.agentClockMillis = request.sentMillis();
		if (agent.listedRuns != null) {
			reconcile(agent, nowMillis);
		}
		if (agent.tryGrant(nowMillis)) {
			this.outbox.send(agent.link, new LeaseGrant(request.sentMillis(), agent.lastEndSequence, nowMillis));
		}
	}

	/**
	 * Declines all jobs if the agent's clock shows that this VM was suspended, since the
	 * callers may have turned to another entry meanwhile. The agent's clock is not used
	 * for a start before this check.
	 * @param agent the agent
	 * @param request carries the agent's clock
	 * @param nowMillis the current time
	 */
	private void detectSuspension(AgentView agent, LeaseRequest request, long nowMillis) {
		this.suspensions.observeAgent(agent.incarnationName(), request, nowMillis).ifPresent((lostMillis) -> {
			this.outbox.log("suspended lost_ms=" + lostMillis + " agent=" + agent.name);
			declineAll("entry_suspended", nowMillis);
		});
	}

	/**
	 * Handles a reading of the time of day. If it shows that this VM may have been
	 * suspended, nothing is placed until an agent can tell. Called before each event.
	 * @param timeOfDayMillis the time of day
	 * @param nowMillis the current time
	 */
	public void observeTimeOfDay(long timeOfDayMillis, long nowMillis) {
		if (this.suspensions.observeTimeOfDay(timeOfDayMillis, nowMillis)) {
			this.outbox.log("suspension=possible reason=time_of_day_gained jobs=" + this.jobs.size());
		}
	}

	/**
	 * Returns for how much longer the caller of a request may have waited than this VM's
	 * monotonic clock shows.
	 * @param earliestMillis the earliest time at which the request may have arrived
	 * @return for how long this VM was suspended since, as far as is known
	 */
	public long suspendedMillisSince(long earliestMillis) {
		return this.suspensions.lostMillisSince(earliestMillis);
	}

	/**
	 * Reconciles the outstanding tasks of an agent with the runs that it listed on a new
	 * link. A run that is not listed and has no reported end was never started, because
	 * its start was lost with the previous link. Stops are repeated, since they may have
	 * been lost too.
	 * @param agent the agent
	 * @param nowMillis the current time
	 */
	private void reconcile(AgentView agent, long nowMillis) {
		for (DispatchedTask task : List.copyOf(agent.outstandingTasks.values())) {
			if (!agent.listedRuns.contains(task.runKey())) {
				endRun(task, RunEnd.REFUSED, Proof.NOT_LISTED, 0, nowMillis);
			}
			else if (task.job.closed) {
				this.outbox.send(agent.link, new RunStop(task.runKey()));
			}
		}
		agent.listedRuns = null;
	}

	/**
	 * Handles the end of a run. Ends that the agent repeats on a new link are ignored.
	 * @param link the link
	 * @param ended the message about the end
	 * @param nowMillis the current time
	 */
	public void handleRunEnded(String link, RunEnded ended, long nowMillis) {
		this.agents.find(link)
			.filter((agent) -> ended.sequence() > agent.lastEndSequence)
			.ifPresent((agent) -> handleRunEnded(agent, ended, nowMillis));
	}

	private void handleRunEnded(AgentView agent, RunEnded ended, long nowMillis) {
		agent.lastEndSequence = ended.sequence();
		this.agents.recordEnd(agent, ended.run());
		DispatchedTask task = agent.outstandingTasks.get(ended.run().task());
		if (task != null && task.runKey().equals(ended.run())) {
			endRun(task, ended.end(), Proof.REPORTED, ended.ranMillis(), nowMillis);
		}
	}

	private void endRun(DispatchedTask task, RunEnd end, Proof proof, long ranMillis, long nowMillis) {
		DispatchedJob job = task.job;
		AgentView agent = task.agent;
		agent.outstandingTasks.remove(task.name);
		task.agent = null;
		job.outstandingRuns--;
		job.started |= end.mayHaveStarted();
		task.previousRun = new PreviousRun(task.runNumber, agent.name, end, proof, nowMillis);
		if (end != RunEnd.DONE) {
			this.outbox.log("run=" + task.name + "#" + task.runNumber + " agent=" + agent.name + " end=" + end
					+ " proof=" + proof + " ran_ms=" + ranMillis + " failures=" + task.failures);
		}
		if (end == RunEnd.DONE) {
			job.markDone(task);
		}
		else {
			requeue(task, end, agent);
		}
		if (job.closed) {
			removeIfEnded(job);
		}
		else if (job.complete()) {
			answer(job, new JobReply(JobOutcome.COMPLETED, "done", 0), nowMillis);
		}
		else if (task.failures >= Math.max(1, job.route.maxAttempts())) {
			answer(job, new JobReply(JobOutcome.FAILED, "attempts", 0), nowMillis);
		}
		else if (end == RunEnd.JOB_PRESENT) {
			this.claims.require(job, "present_at_" + agent.name, nowMillis);
		}
	}

	private void requeue(DispatchedTask task, RunEnd end, AgentView agent) {
		task.state = State.PENDING;
		if (end.usesNumber()) {
			task.runNumber++;
		}
		if (end.countsAsAttempt()) {
			task.failures++;
			task.failedAgents.add(agent.name);
		}
	}

	/**
	 * Unregisters a link that was closed. The agent stays known, since its runs go on
	 * until their lease expires and it may open a new link before that.
	 * @param link the link
	 */
	public void unregisterLink(String link) {
		this.agents.unregisterLink(link);
	}

	/**
	 * Drains failure domains, or withdraws their drain. Nothing is placed on the
	 * endpoints of a drained one.
	 * @param candidate the drains
	 * @param source the link on which they came, or where they were read
	 */
	public void adoptDrains(DomainDrains candidate, String source) {
		this.drains.adopt(candidate, source, this.agents.links()).ifPresent((before) -> {
			this.agents.drain(candidate);
			this.outbox.log("drains version=" + candidate.version() + " domains=" + candidate.domains() + " before="
					+ before.domains() + " endpoints=" + this.agents.countDrained() + " source=" + source);
		});
	}

	/**
	 * Counts the endpoints in drained failure domains.
	 * @return the number of linked agents there
	 */
	public long drainedEndpointCount() {
		return this.agents.countDrained();
	}

	// Time

	/**
	 * Removes lost agents, declines jobs whose deadline has passed, evicts old answers
	 * and places ready tasks.
	 * @param nowMillis the current time
	 */
	public void tick(long nowMillis) {
		for (AgentView agent : this.agents.removeLost(nowMillis)) {
			this.suspensions.forget(agent.incarnationName());
			for (DispatchedTask task : List.copyOf(agent.outstandingTasks.values())) {
				endRun(task, RunEnd.LOST, Proof.AGENT_SILENT, 0, nowMillis);
			}
		}
		for (DispatchedJob job : List.copyOf(this.jobs.values())) {
			if (!job.closed && nowMillis >= job.deadlineMillis) {
				decline(job, "deadline", nowMillis);
			}
		}
		this.suspensions.resolveOldDoubt(nowMillis).ifPresent((lostMillis) -> {
			this.outbox.log("suspended lost_ms=" + lostMillis + " agent=none");
			declineAll("entry_suspended", nowMillis);
		});
		this.answers.evict(nowMillis);
		this.cancellations.tick(this.agents.links(), nowMillis);
		place(nowMillis);
	}

	/**
	 * Places ready tasks on endpoints. Called after each batch of events.
	 * @param nowMillis the current time
	 */
	public void place(long nowMillis) {
		this.claims.ask(this.agents.links(), this.agents.allLinked(), nowMillis);
		if (!this.suspensions.doubtful()) {
			this.placer.place(this.jobs.values(), nowMillis);
		}
	}

}
