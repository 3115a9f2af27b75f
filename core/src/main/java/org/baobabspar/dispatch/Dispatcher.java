package org.baobabspar.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.baobabspar.dispatch.PlacedTask.State;
import org.baobabspar.fleet.JobSubmission;
import org.baobabspar.fleet.Route;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.message.LeaseGrant;
import org.baobabspar.message.LeaseRequest;
import org.baobabspar.message.RunEnded;
import org.baobabspar.message.RunStart;
import org.baobabspar.message.RunStop;
import org.baobabspar.message.SupervisorHello;
import org.baobabspar.supervise.LeaseTimes;

/**
 * Takes the jobs of one entry from submission to answer. A job lives in memory until its
 * caller has its answer; if the entry dies, the caller submits again, and by then the
 * leases of all runs have lapsed.
 * <p>
 * Invariants: a job is refused only if none of its tasks has begun and none will; a task
 * is ordered again only when its last run has surely ended. Used on the control thread
 * only.
 */
public final class Dispatcher {

	/** How long answers are kept for callers who ask twice. */
	private static final long ANSWERS_MILLIS = 30_000;

	private static final int MAX_ANSWERS = 20_000;

	/** Jobs that may wait at an entry, against floods. */
	private static final int MAX_WAITING = 2_000;

	/** With less of the processors in use, jobs that will be late are served as well. */
	private static final double CALM_SHARE = 0.7;

	/**
	 * For so long after a new agent more of them are expected: those of a fleet that has
	 * restarted come within a quarter of a second.
	 */
	private static final long SETTLE_MILLIS = 300;

	private static final long MIN_RETRY_SECONDS = 1;

	private final String domain;

	private final DispatchOutbox outbox;

	private final RunTimeModel model = new RunTimeModel();

	private final Map<String, DispatchedJob> jobs = new LinkedHashMap<>();

	private final Map<String, Answer> answers = new LinkedHashMap<>();

	/** Numbers of links whose agents have not said hello. */
	private final Map<String, Long> awaited = new HashMap<>();

	private long lastLinkNumber;

	private final Map<String, AgentView> byLink = new HashMap<>();

	private final List<AgentView> views = new ArrayList<>();

	private long newAgentMillis = -SETTLE_MILLIS;

	/**
	 * Create the dispatcher of an entry.
	 * @param domain the entry's failure domain
	 * @param outbox acts on its decisions
	 */
	public Dispatcher(String domain, DispatchOutbox outbox) {
		this.domain = domain;
		this.outbox = outbox;
	}

	// Jobs

	/**
	 * Take a job in.
	 * @param order the job
	 * @param route its route
	 * @param timeoutMillis how long the caller waits
	 * @param caller takes the answer, exactly once
	 * @param nowMillis the time
	 */
	public void submit(JobSubmission order, Route route, long timeoutMillis, Consumer<JobReply> caller,
			long nowMillis) {
		Answer known = this.answers.get(order.id());
		if (known != null) {
			this.outbox.log("job=" + order.id() + " answer=repeated outcome=" + known.reply.outcome());
			caller.accept(known.reply);
			return;
		}
		DispatchedJob job = this.jobs.get(order.id());
		if (job != null) {
			rejoin(job, timeoutMillis, caller, nowMillis);
			return;
		}
		Optional<String> refusal = refusal(order, route, nowMillis);
		if (refusal.isPresent()) {
			JobReply reply = new JobReply(JobOutcome.REFUSED, refusal.get(), MIN_RETRY_SECONDS);
			this.outbox
				.log("job=" + order.id() + " route=" + route.name() + " outcome=REFUSED reason=" + refusal.get());
			this.outbox.recordJobEnd(route.name(), reply, 0);
			caller.accept(reply);
			return;
		}
		job = new DispatchedJob(order, route, this.model, nowMillis, nowMillis + timeoutMillis);
		job.callers.add(caller);
		this.jobs.put(order.id(), job);
	}

	private Optional<String> refusal(JobSubmission order, Route route, long nowMillis) {
		if (!route.refusal().isEmpty()) {
			return Optional.of(route.refusal());
		}
		if (this.jobs.size() >= MAX_WAITING) {
			return Optional.of("entry_full");
		}
		List<AgentView> usable = usable(route, nowMillis);
		boolean fits = usable.isEmpty() || order.steps()
			.stream()
			.allMatch((s) -> usable.stream().anyMatch((a) -> s.resources().fitsInto(a.status.capacity())));
		return fits ? Optional.empty() : Optional.of("never_fits");
	}

	private void rejoin(DispatchedJob job, long timeoutMillis, Consumer<JobReply> caller, long nowMillis) {
		this.outbox.log("job=" + job.order.id() + " answer=rejoined given_up=" + job.givenUp);
		job.callers.add(caller);
		job.deadlineMillis = nowMillis + timeoutMillis;
		if (job.givenUp) {
			job.givenUp = false;
			job.receivedMillis = nowMillis;
		}
	}

	/**
	 * Give a job up, since its caller has gone.
	 * @param id the job
	 * @param caller the caller
	 * @param nowMillis the time
	 * @return whether the job was known
	 */
	public boolean abandon(String id, Consumer<JobReply> caller, long nowMillis) {
		DispatchedJob job = this.jobs.get(id);
		if (job == null || !job.callers.remove(caller)) {
			return false;
		}
		if (job.callers.isEmpty()) {
			this.outbox.log("job=" + id + " outcome=abandoned age_ms=" + (nowMillis - job.receivedMillis));
			giveUp(job);
		}
		return true;
	}

	/**
	 * Cancel a job at its caller's wish.
	 * @param id the job
	 * @param nowMillis the time
	 * @return whether the job was known
	 */
	public boolean cancel(String id, long nowMillis) {
		DispatchedJob job = this.jobs.get(id);
		if (job == null || job.givenUp) {
			return this.answers.containsKey(id);
		}
		answer(job, new JobReply(JobOutcome.FAILED, "cancelled", 0), nowMillis);
		return true;
	}

	/**
	 * Give all jobs up: after this process stood still, since callers may be at another
	 * entry by now, or when it is about to end.
	 * @param reason why
	 * @param nowMillis the time
	 */
	public void declineAll(String reason, long nowMillis) {
		this.outbox.log("declining jobs=" + this.jobs.size() + " reason=" + reason);
		for (DispatchedJob job : List.copyOf(this.jobs.values())) {
			if (!job.givenUp) {
				decline(job, reason, nowMillis);
			}
		}
	}

	private void decline(DispatchedJob job, String reason, long nowMillis) {
		JobOutcome outcome = job.mayHaveBegun() ? JobOutcome.UNKNOWN : JobOutcome.REFUSED;
		answer(job, new JobReply(outcome, reason, MIN_RETRY_SECONDS), nowMillis);
	}

	private void answer(DispatchedJob job, JobReply reply, long nowMillis) {
		long age = nowMillis - job.receivedMillis;
		this.outbox.log("job=" + job.order.id() + " route=" + job.route.name() + " tasks=" + job.tasks.size()
				+ " outcome=" + reply.outcome() + " reason=" + reply.reason() + " age_ms=" + age + " waited_ms="
				+ ((job.firstOrderMillis > 0) ? job.firstOrderMillis - job.receivedMillis : age) + " objective_ms="
				+ Math.round(job.objectiveMillis()));
		this.outbox.recordJobEnd(job.route.name(), reply, age);
		List<Consumer<JobReply>> callers = job.callers;
		job.callers = new ArrayList<>();
		if (reply.outcome() == JobOutcome.COMPLETED || reply.outcome() == JobOutcome.FAILED) {
			this.answers.put(job.order.id(), new Answer(reply, nowMillis));
		}
		giveUp(job);
		callers.forEach((c) -> c.accept(reply));
	}

	private void giveUp(DispatchedJob job) {
		job.givenUp = true;
		for (PlacedTask t : job.tasks) {
			if (t.state == State.ORDERED && t.agent.link != null) {
				this.outbox.send(t.agent.link, new RunStop(t.key()));
			}
		}
		dropIfEnded(job);
	}

	private void dropIfEnded(DispatchedJob job) {
		if (job.givenUp && job.outstanding == 0) {
			this.jobs.remove(job.order.id());
		}
	}

	/**
	 * Count the jobs of a route that wait with no task started.
	 * @param route the route
	 * @return how many
	 */
	public long pendingJobCount(String route) {
		return this.jobs.values()
			.stream()
			.filter((j) -> !j.givenUp && !j.mayHaveBegun() && j.route.name().equals(route))
			.count();
	}

	/**
	 * Count the jobs whose callers wait.
	 * @return how many
	 */
	public long openJobCount() {
		return this.jobs.values().stream().filter((j) -> !j.givenUp).count();
	}

	/**
	 * Tell whether there is nothing to place or to end.
	 * @return whether no job waits or may run
	 */
	public boolean idle() {
		return this.jobs.isEmpty();
	}

	/**
	 * Tell whether any endpoint takes runs.
	 * @param nowMillis the time
	 * @return whether a job could be served
	 */
	public boolean servable(long nowMillis) {
		return this.views.stream().anyMatch((v) -> v.usable(nowMillis));
	}

	// Agents

	/**
	 * Take a new link.
	 * @param link the link
	 * @return its number, for the welcome
	 */
	public long registerLink(String link) {
		this.awaited.put(link, ++this.lastLinkNumber);
		return this.lastLinkNumber;
	}

	/**
	 * Take the hello of an agent. One that answers the welcome of an earlier link, or
	 * comes on one that the agent has replaced, may list runs as they were before later
	 * orders, so it is ignored. Example: two links are cut one after the other, and the
	 * bytes of the first come last.
	 * @param link the link
	 * @param m the hello
	 * @param nowMillis the time
	 */
	public void handleHello(String link, SupervisorHello m, long nowMillis) {
		if (!this.awaited.remove(link, m.linkNumber())) {
			this.outbox.log("agent=" + m.agent() + " hello=ignored link_number=" + m.linkNumber());
			return;
		}
		AgentView v = this.views.stream()
			.filter((o) -> o.name.equals(m.agent()) && o.incarnation == m.incarnation())
			.findFirst()
			.orElseGet(() -> add(m, nowMillis));
		if (m.linkNumber() < v.linkNumber) {
			this.outbox
				.log("agent=" + m.agent() + " hello=ignored link_number=" + m.linkNumber() + " newer=" + v.linkNumber);
			return;
		}
		if (v.link != null) {
			this.byLink.remove(v.link);
		}
		v.linkNumber = m.linkNumber();
		v.linked(link, m.status(), m.runs(), nowMillis);
		this.byLink.put(link, v);
		this.outbox.log("agent=" + v.name + " incarnation=" + v.incarnation + " state=linked endpoint="
				+ m.status().endpointId() + " runs=" + m.runs().size());
	}

	private AgentView add(SupervisorHello m, long nowMillis) {
		this.newAgentMillis = nowMillis;
		AgentView v = new AgentView(m.agent(), m.incarnation(), m.domain());
		this.views.add(v);
		return v;
	}

	/**
	 * Take a request for a lease, and grant it.
	 * @param link the link
	 * @param m the request
	 * @param nowMillis the time
	 */
	public void handleLeaseRequest(String link, LeaseRequest m, long nowMillis) {
		AgentView v = this.byLink.get(link);
		if (v == null) {
			return;
		}
		if (v.status.state() != m.status().state()) {
			this.outbox.log("agent=" + v.name + " endpoint=" + m.status().endpointId() + " state=" + m.status().state()
					+ " speed=" + m.status().speed());
		}
		v.heard(m.status(), nowMillis);
		v.agentClockMillis = m.sentMillis();
		if (v.listed != null) {
			compare(v, nowMillis);
		}
		if (v.grant(nowMillis)) {
			this.outbox.send(link, new LeaseGrant(m.sentMillis(), v.endsSeen));
		}
	}

	/**
	 * Find the orders that were lost with the last link: the agent does not list them and
	 * has reported no end.
	 * @param v the agent
	 * @param nowMillis the time
	 */
	private void compare(AgentView v, long nowMillis) {
		for (PlacedTask t : List.copyOf(v.ordered.values())) {
			if (!v.listed.contains(t.key())) {
				end(t, RunEnd.REFUSED, 0, nowMillis);
			}
			else if (t.job.givenUp) {
				this.outbox.send(v.link, new RunStop(t.key()));
			}
		}
		v.listed = null;
	}

	/**
	 * Take the end of a run.
	 * @param link the link
	 * @param m the end
	 * @param nowMillis the time
	 */
	public void handleRunEnded(String link, RunEnded m, long nowMillis) {
		AgentView v = this.byLink.get(link);
		if (v == null || m.sequence() <= v.endsSeen) {
			return;
		}
		v.endsSeen = m.sequence();
		PlacedTask t = v.ordered.get(m.run().task());
		if (t != null && t.key().equals(m.run())) {
			end(t, m.end(), m.ranMillis(), nowMillis);
		}
	}

	private void end(PlacedTask t, RunEnd end, long ranMillis, long nowMillis) {
		DispatchedJob job = t.job;
		AgentView v = t.agent;
		v.ordered.remove(t.name);
		t.agent = null;
		job.outstanding--;
		job.begun |= end.mayHaveStarted();
		if (end != RunEnd.DONE) {
			this.outbox.log("run=" + t.name + "#" + t.run + " agent=" + v.name + " end=" + end + " ran_ms=" + ranMillis
					+ " failures=" + t.failures);
		}
		if (end == RunEnd.DONE) {
			job.done(t);
		}
		else {
			again(t, end, v);
		}
		if (job.givenUp) {
			dropIfEnded(job);
		}
		else if (job.complete()) {
			answer(job, new JobReply(JobOutcome.COMPLETED, "done", 0), nowMillis);
		}
		else if (t.failures >= Math.max(1, job.route.maxAttempts())) {
			answer(job, new JobReply(JobOutcome.FAILED, "attempts", 0), nowMillis);
		}
	}

	private void again(PlacedTask t, RunEnd end, AgentView v) {
		t.state = State.WAITING;
		if (end != RunEnd.REFUSED) {
			t.run++;
		}
		if (end.countsAsAttempt()) {
			t.failures++;
			t.failedAt.add(v.name);
		}
	}

	/**
	 * Take the end of a link. The agent's runs go on for a while; it may be back.
	 * @param link the link
	 */
	public void unregisterLink(String link) {
		this.awaited.remove(link);
		AgentView v = this.byLink.remove(link);
		if (v != null) {
			v.link = null;
			this.outbox.log("agent=" + v.name + " state=unlinked runs=" + v.ordered.size());
		}
	}

	// Time

	/**
	 * Do what is due and place what can be placed.
	 * @param nowMillis the time
	 */
	public void tick(long nowMillis) {
		for (AgentView v : List.copyOf(this.views)) {
			if (nowMillis - v.heardMillis > LeaseTimes.LOSS_MILLIS) {
				lose(v, nowMillis);
			}
		}
		for (DispatchedJob job : List.copyOf(this.jobs.values())) {
			if (!job.givenUp && nowMillis >= job.deadlineMillis) {
				decline(job, "deadline", nowMillis);
			}
		}
		this.answers.values().removeIf((a) -> nowMillis - a.atMillis > ANSWERS_MILLIS);
		while (this.answers.size() > MAX_ANSWERS) {
			this.answers.remove(this.answers.keySet().iterator().next());
		}
		place(nowMillis);
	}

	private void lose(AgentView v, long nowMillis) {
		this.outbox.log("agent=" + v.name + " incarnation=" + v.incarnation + " state=lost silent_ms="
				+ (nowMillis - v.heardMillis) + " runs=" + v.ordered.size());
		this.views.remove(v);
		if (v.link != null) {
			this.byLink.remove(v.link);
			this.outbox.close(v.link);
		}
		for (PlacedTask t : List.copyOf(v.ordered.values())) {
			end(t, RunEnd.LOST, 0, nowMillis);
		}
	}

	private List<AgentView> usable(Route r, long nowMillis) {
		return this.views.stream()
			.filter((v) -> v.usable(nowMillis) && v.status.service().equals(r.service()))
			.toList();
	}

	/**
	 * Place what can be placed, first the jobs that can be in time: one that will be late
	 * anyway may take their room only if it is left over. Called after each batch of
	 * events.
	 * @param nowMillis the time
	 */
	public void place(long nowMillis) {
		List<DispatchedJob> waiting = this.jobs.values()
			.stream()
			.filter(DispatchedJob::waiting)
			.sorted(Comparator.comparingInt((DispatchedJob j) -> j.route.priority())
				.thenComparingDouble((j) -> j.receivedMillis + j.objectiveMillis()))
			.toList();
		Map<String, Placement> placements = new HashMap<>();
		List<DispatchedJob> late = new ArrayList<>();
		for (DispatchedJob job : waiting) {
			Placement p = placements.computeIfAbsent(job.route.service(),
					(s) -> new Placement(usable(job.route, nowMillis), this.domain, nowMillis));
			if (p.empty()) {
				waitForAgents(job, nowMillis);
			}
			else if (job.mayHaveBegun() || p.canBeInTime(job)) {
				place(job, p, job.mayHaveBegun(), nowMillis);
			}
			else {
				late.add(job);
			}
		}
		late.forEach((job) -> placeLate(job, placements.get(job.route.service()), nowMillis));
	}

	/**
	 * Serve a job that will be late if there is room to spare, and refuse it otherwise,
	 * unless the room is not yet known because agents are still coming.
	 * @param job the job
	 * @param p the room
	 * @param nowMillis the time
	 */
	private void placeLate(DispatchedJob job, Placement p, long nowMillis) {
		if (p.used() <= CALM_SHARE) {
			place(job, p, true, nowMillis);
		}
		else if (nowMillis - this.newAgentMillis >= SETTLE_MILLIS) {
			decline(job, "overload used=" + Math.round(100 * p.used()), nowMillis);
		}
	}

	private void place(DispatchedJob job, Placement p, boolean late, long nowMillis) {
		List<Placement.Choice> choices = p.choose(job, late);
		for (Placement.Choice c : choices) {
			order(c.task(), c.agent(), nowMillis);
		}
		if (!choices.isEmpty()) {
			this.outbox.log("job=" + job.order.id() + " route=" + job.route.name() + " placed=" + describe(choices)
					+ " late=" + late + " predicted_ms=" + Math.round(job.chainMillis));
		}
	}

	/**
	 * Agents are back within a second or two when their entry or they themselves have
	 * restarted; a job waits for them while it can still be in time.
	 * @param job the job
	 * @param nowMillis the time
	 */
	private void waitForAgents(DispatchedJob job, long nowMillis) {
		double millis = nowMillis - job.receivedMillis + job.chainMillis + Placement.OVERHEAD_MILLIS;
		if (!job.mayHaveBegun() && millis > job.objectiveMillis()) {
			decline(job, "no_endpoint", nowMillis);
		}
	}

	private static String describe(List<Placement.Choice> choices) {
		Map<String, Integer> counts = new LinkedHashMap<>();
		choices.forEach((c) -> counts.merge(c.agent().name, 1, Integer::sum));
		return counts.toString().replace(" ", "");
	}

	private void order(PlacedTask t, AgentView v, long nowMillis) {
		t.job.ordered(t);
		t.agent = v;
		if (t.job.firstOrderMillis == 0) {
			t.job.firstOrderMillis = nowMillis;
		}
		long sequence = v.order(t);
		long expected = Math.round(t.job.predictedMillis[t.step]);
		this.outbox.send(v.link, new RunStart(sequence, t.key(), t.job.order.payload(), t.spec.resources(), expected,
				v.agentClockMillis));
	}

	private record Answer(JobReply reply, long atMillis) {
	}

}
