package org.baobabspar.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import org.baobabspar.fleet.JobSubmission;
import org.baobabspar.fleet.Resources;
import org.baobabspar.fleet.Route;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.baobabspar.fleet.Step;
import org.baobabspar.message.EntryWelcome;
import org.baobabspar.message.LeaseGrant;
import org.baobabspar.message.LeaseRequest;
import org.baobabspar.message.Message;
import org.baobabspar.message.RunEnded;
import org.baobabspar.message.RunStart;
import org.baobabspar.message.RunStop;
import org.baobabspar.message.SupervisorHello;
import org.baobabspar.supervise.EndedRun;
import org.baobabspar.supervise.EndpointDriver;
import org.baobabspar.supervise.EndpointReport;
import org.baobabspar.supervise.RunInventory;
import org.baobabspar.supervise.RunSupervisor;
import org.baobabspar.supervise.StartAnswer;

/**
 * Simulates entries, agents, endpoints and callers on one simulated clock and checks the
 * guarantees of the dispatcher from what endpoints and callers observe.
 * <p>
 * The faults are processes that are killed or frozen, links that are reset or
 * partitioned, endpoints that restart, and calls to endpoints that take effect late. The
 * history of a simulation depends only on its seed. Not thread-safe.
 */
final class SimulatedFleet {

	private static final Resources CAPACITY = new Resources(8_000, 1_024, 0);

	private static final Route ROUTE = new Route("route", "host", "/", "service", 0, 3, 1.6, 60, "");

	/** Time that a caller waits before it submits its job again. */
	private static final long RETRY_MILLIS = 1_300;

	private static final long TIMEOUT_MILLIS = 6_000;

	/** An entry that was inactive for longer declines all its jobs. */
	private static final long STALL_MILLIS = 400;

	/** An agent closes a link on which it has received nothing for this long. */
	private static final long SILENT_LINK_MILLIS = 300;

	/** Descriptions of the guarantees that were violated. */
	final List<String> violations = new ArrayList<>();

	/** Log lines of all processes, each with its simulated time. */
	final List<String> trace = new ArrayList<>();

	int completed;

	int submitted;

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final List<Entry> entries = new ArrayList<>();

	private final List<Agent> agents = new ArrayList<>();

	private final Map<String, JobCaller> callers = new HashMap<>();

	private final boolean faultsEnabled;

	private long nowMillis = 100_000;

	private long nextEventSequence;

	private long lastIncarnation;

	SimulatedFleet(long seed, int entryCount, int agentCount, boolean faultsEnabled) {
		this.random = new Random(seed);
		this.faultsEnabled = faultsEnabled;
		for (int i = 0; i < entryCount; i++) {
			this.entries.add(new Entry(i));
		}
		for (int i = 0; i < agentCount; i++) {
			this.agents.add(new Agent(i));
		}
		this.agents.forEach((a) -> a.boot());
	}

	private void schedule(long atMillis, Runnable action) {
		this.events.add(new Event(Math.max(atMillis, this.nowMillis), this.nextEventSequence++, action));
	}

	void run(long millis, long jobIntervalMillis) {
		long endMillis = this.nowMillis + millis;
		for (long t = this.nowMillis + 1_000; t < endMillis - 10_000; t += jobIntervalMillis) {
			schedule(t, this::submitJob);
		}
		if (this.faultsEnabled) {
			for (long t = this.nowMillis + 2_000; t < endMillis - 12_000; t += 700 + this.random.nextInt(1_500)) {
				schedule(t, this::injectFault);
			}
		}
		while (!this.events.isEmpty() && this.events.peek().atMillis <= endMillis) {
			Event event = this.events.remove();
			this.nowMillis = event.atMillis;
			event.action.run();
		}
	}

	private void trace(String process, String line) {
		this.trace.add(this.nowMillis + " " + process + " " + line);
	}

	private void injectFault() {
		long millis = 200 + this.random.nextInt(4_000);
		Entry e = this.entries.get(this.random.nextInt(this.entries.size()));
		Agent a = this.agents.get(this.random.nextInt(this.agents.size()));
		int kind = this.random.nextInt(9);
		trace("fault", "kind=" + kind + " entry=" + e.number + " agent=" + a.number + " millis=" + millis);
		switch (kind) {
			case 0 -> e.kill(millis);
			case 1 -> e.process.freeze(millis);
			case 2 -> a.kill(millis);
			case 3 -> a.process.freeze(millis);
			case 4 -> e.links.get(a.number).reset();
			case 5 -> e.links.get(a.number).partition(millis);
			case 6 -> e.links.forEach((l) -> l.partition(millis));
			case 7 -> {
				a.endpoint.restart(this.nowMillis);
				schedule(this.nowMillis + 300, a::report);
			}
			default -> {
				a.delayedCallShare = 0.3;
				schedule(this.nowMillis + millis, () -> a.delayedCallShare = 0);
			}
		}
	}

	private void checkStart(Agent agent, RunKey run) {
		this.callers.get(run.jobId()).recordStart(run.task());
		trace("endpoint-" + agent.number, "start " + run);
		for (Agent a : this.agents) {
			if (a != agent && a.endpoint.presentRuns.containsKey(run.task())) {
				this.violations
					.add("two runs at " + this.nowMillis + ": " + run + " on " + agent.number + " and " + a.number);
			}
		}
		if (!agent.endpoint.usedRoom().fitsInto(CAPACITY)) {
			this.violations.add("over capacity at " + this.nowMillis + ": " + run);
		}
	}

	// Callers

	private void submitJob() {
		String id = "job-" + (++this.submitted);
		int tasks = 1 + this.random.nextInt(6);
		long workMillis = 40 + this.random.nextInt(900);
		JobSubmission order = new JobSubmission(id, "payload",
				List.of(new Step(tasks, new Resources(1_000, 64, 0), workMillis, List.of(), "", "", 0)));
		JobCaller caller = new JobCaller(order);
		this.callers.put(id, caller);
		caller.send();
		if (this.random.nextInt(12) == 0) {
			schedule(this.nowMillis + this.random.nextInt(800), caller::abandon);
		}
	}

	/**
	 * A caller that submits one job, retries it at random entries and checks the answers
	 * against the runs that endpoints started and completed.
	 */
	private final class JobCaller {

		private final JobSubmission order;

		private final Set<String> startedTasks = new HashSet<>();

		private final Set<String> doneTasks = new HashSet<>();

		private boolean finished;

		/** Whether the current attempt waits for an answer. */
		private boolean inFlight;

		/**
		 * Whether no attempt so far has lost its connection, had an unknown outcome or
		 * was abandoned, so that a refusal means that no task has started.
		 */
		private boolean onlyRefusals = true;

		private boolean definitelyRefused;

		private int attempt;

		private Entry entry;

		private Consumer<JobReply> currentReplyHandler;

		JobCaller(JobSubmission order) {
			this.order = order;
		}

		void send() {
			if (this.finished || this.attempt > 5) {
				this.finished = true;
				return;
			}
			int attemptNumber = ++this.attempt;
			this.entry = SimulatedFleet.this.entries
				.get(SimulatedFleet.this.random.nextInt(SimulatedFleet.this.entries.size()));
			Entry target = this.entry;
			if (!target.process.alive) {
				schedule(SimulatedFleet.this.nowMillis + RETRY_MILLIS, this::send);
				return;
			}
			Consumer<JobReply> replyHandler = (r) -> schedule(SimulatedFleet.this.nowMillis + 1,
					() -> handleReply(attemptNumber, r));
			this.currentReplyHandler = replyHandler;
			this.inFlight = true;
			target.process.deliver(() -> target.submit(this.order, replyHandler));
			schedule(SimulatedFleet.this.nowMillis + TIMEOUT_MILLIS, () -> loseConnection(attemptNumber));
		}

		void loseConnection(int attemptNumber) {
			if (!this.finished && this.inFlight && attemptNumber == this.attempt) {
				this.inFlight = false;
				this.onlyRefusals = false;
				disconnect();
				schedule(SimulatedFleet.this.nowMillis + RETRY_MILLIS, this::send);
			}
		}

		private void disconnect() {
			Entry target = this.entry;
			Consumer<JobReply> replyHandler = this.currentReplyHandler;
			if (target.process.alive) {
				target.process.deliver(() -> target.abandon(this.order.id(), replyHandler));
			}
		}

		void abandon() {
			if (!this.finished && this.inFlight) {
				this.finished = true;
				this.onlyRefusals = false;
				disconnect();
			}
		}

		private void handleReply(int attemptNumber, JobReply reply) {
			if (this.finished || !this.inFlight || attemptNumber != this.attempt) {
				return;
			}
			switch (reply.outcome()) {
				case COMPLETED -> {
					this.finished = true;
					SimulatedFleet.this.completed++;
					if (this.doneTasks.size() < this.order.taskCount()) {
						SimulatedFleet.this.violations.add("completed though tasks were not done: " + this.order.id());
					}
				}
				case FAILED -> {
					this.finished = true;
				}
				case REFUSED -> {
					this.finished = true;
					this.definitelyRefused = this.onlyRefusals;
					if (this.onlyRefusals && !this.startedTasks.isEmpty()) {
						SimulatedFleet.this.violations.add("refused though it had run: " + this.order.id());
					}
				}
				case UNKNOWN -> loseConnection(attemptNumber);
			}
		}

		void recordStart(String task) {
			this.startedTasks.add(task);
			if (this.definitelyRefused) {
				SimulatedFleet.this.violations.add("started after refusal: " + this.order.id());
			}
		}

	}

	// Processes

	/**
	 * A process that can be frozen and killed. Events that are delivered while it is
	 * frozen are handled when it resumes.
	 */
	private final class Process {

		private final Deque<Runnable> queued = new ArrayDeque<>();

		private boolean alive = true;

		private long frozenUntilMillis;

		/** Raised when the process is killed, which invalidates its scheduled events. */
		private int generation;

		void freeze(long millis) {
			if (this.alive && SimulatedFleet.this.nowMillis >= this.frozenUntilMillis) {
				this.frozenUntilMillis = SimulatedFleet.this.nowMillis + millis;
				int generationAtFreeze = this.generation;
				schedule(this.frozenUntilMillis, () -> {
					if (generationAtFreeze == this.generation) {
						resume();
					}
				});
			}
		}

		private void resume() {
			while (!this.queued.isEmpty()) {
				this.queued.remove().run();
			}
		}

		boolean frozen() {
			return SimulatedFleet.this.nowMillis < this.frozenUntilMillis;
		}

		void deliver(Runnable action) {
			if (!this.alive) {
				return;
			}
			if (frozen() || !this.queued.isEmpty()) {
				this.queued.add(action);
			}
			else {
				action.run();
			}
		}

		void kill() {
			this.alive = false;
			this.generation++;
			this.queued.clear();
			this.frozenUntilMillis = 0;
		}

	}

	private final class Entry implements DispatchOutbox {

		private final int number;

		private final Process process = new Process();

		private final List<Link> links = new ArrayList<>();

		private Dispatcher dispatcher;

		private long incarnation;

		private long lastActiveMillis;

		Entry(int number) {
			this.number = number;
			boot();
		}

		private void boot() {
			this.process.alive = true;
			SimulatedFleet.this.lastIncarnation++;
			this.incarnation = SimulatedFleet.this.lastIncarnation;
			this.dispatcher = new Dispatcher("domain", this);
			this.lastActiveMillis = SimulatedFleet.this.nowMillis;
			scheduleTick(this.process.generation);
		}

		private void scheduleTick(int generation) {
			schedule(SimulatedFleet.this.nowMillis + 20, () -> {
				if (generation == this.process.generation) {
					if (!this.process.frozen()) {
						detectStall();
						this.dispatcher.tick(SimulatedFleet.this.nowMillis);
					}
					scheduleTick(generation);
				}
			});
		}

		private void detectStall() {
			long gapMillis = SimulatedFleet.this.nowMillis - this.lastActiveMillis;
			this.lastActiveMillis = SimulatedFleet.this.nowMillis;
			if (gapMillis > STALL_MILLIS) {
				this.dispatcher.declineAll("stalled", SimulatedFleet.this.nowMillis);
			}
		}

		void submit(JobSubmission order, Consumer<JobReply> caller) {
			detectStall();
			this.dispatcher.submit(order, ROUTE, TIMEOUT_MILLIS, caller, SimulatedFleet.this.nowMillis);
			this.dispatcher.place(SimulatedFleet.this.nowMillis);
		}

		void abandon(String id, Consumer<JobReply> caller) {
			detectStall();
			this.dispatcher.abandon(id, caller, SimulatedFleet.this.nowMillis);
		}

		void kill(long downMillis) {
			if (!this.process.alive) {
				return;
			}
			this.process.kill();
			this.links.forEach(Link::reset);
			for (JobCaller caller : SimulatedFleet.this.callers.values()) {
				if (!caller.finished && caller.inFlight && caller.entry == this) {
					int attemptNumber = caller.attempt;
					schedule(SimulatedFleet.this.nowMillis + 3, () -> caller.loseConnection(attemptNumber));
				}
			}
			schedule(SimulatedFleet.this.nowMillis + downMillis, this::boot);
		}

		@Override
		public void send(String link, Message message) {
			this.links.get(Integer.parseInt(link)).sendToAgent(message);
		}

		@Override
		public void close(String link) {
			this.links.get(Integer.parseInt(link)).reset();
		}

		@Override
		public void log(String line) {
			trace("entry-" + this.number, line);
		}

		@Override
		public void recordJobEnd(String route, JobReply reply, long ageMillis) {
		}

		void receive(Agent sender, Message message) {
			detectStall();
			String link = String.valueOf(sender.number);
			long nowMillis = SimulatedFleet.this.nowMillis;
			if (message instanceof LeaseRequest r) {
				this.dispatcher.handleLeaseRequest(link, r, nowMillis);
			}
			else if (message instanceof RunEnded e) {
				this.dispatcher.handleRunEnded(link, e, nowMillis);
			}
			else if (message instanceof SupervisorHello h) {
				this.dispatcher.handleHello(link, h, nowMillis);
			}
			this.dispatcher.place(nowMillis);
		}

	}

	private final class Agent implements EndpointDriver {

		private final int number;

		private final Process process = new Process();

		private final SimulatedEndpoint endpoint;

		/** Time of the last message from each entry, by the number of the entry. */
		private final Map<Integer, Long> lastHeardMillis = new HashMap<>();

		private RunSupervisor supervisor;

		private long lastReportSequence;

		/**
		 * Share of the calls to the endpoint that take effect seconds after a timeout.
		 */
		private double delayedCallShare;

		Agent(int number) {
			this.number = number;
			this.endpoint = new SimulatedEndpoint(
					SimulatedEndpoint.SLOWEST_CLOCK + 0.02 * SimulatedFleet.this.random.nextDouble());
			this.endpoint.restart(SimulatedFleet.this.nowMillis);
			SimulatedFleet.this.entries.forEach((e) -> e.links.add(new Link(e, this)));
		}

		private void boot() {
			this.process.alive = true;
			SimulatedFleet.this.lastIncarnation++;
			long incarnation = SimulatedFleet.this.lastIncarnation;
			this.lastHeardMillis.clear();
			this.supervisor = new RunSupervisor("agent-" + this.number, incarnation, "domain", incarnation * 1_000,
					this, (link, m) -> SimulatedFleet.this.entries.get(Integer.parseInt(link)).links.get(this.number)
						.sendToEntry(m),
					(line) -> trace("agent-" + this.number, line));
			report();
			SimulatedFleet.this.entries.forEach((e) -> e.links.get(this.number).open());
			scheduleTick(this.process.generation);
			scheduleReport(this.process.generation);
		}

		private void scheduleTick(int generation) {
			schedule(SimulatedFleet.this.nowMillis + 40, () -> {
				if (generation == this.process.generation) {
					if (!this.process.frozen()) {
						this.supervisor.tick(SimulatedFleet.this.nowMillis);
						this.supervisor.flush(SimulatedFleet.this.nowMillis);
						closeSilentLinks();
					}
					scheduleTick(generation);
				}
			});
		}

		private void closeSilentLinks() {
			for (Map.Entry<Integer, Long> link : List.copyOf(this.lastHeardMillis.entrySet())) {
				if (SimulatedFleet.this.nowMillis - link.getValue() > SILENT_LINK_MILLIS) {
					this.lastHeardMillis.put(link.getKey(), SimulatedFleet.this.nowMillis);
					SimulatedFleet.this.entries.get(link.getKey()).links.get(this.number).reset();
				}
			}
		}

		private void scheduleReport(int generation) {
			schedule(SimulatedFleet.this.nowMillis + 1_500, () -> {
				if (generation == this.process.generation) {
					this.process.deliver(this::report);
					scheduleReport(generation);
				}
			});
		}

		private void report() {
			this.supervisor.report(new EndpointReport("endpoint-" + this.number, this.endpoint.bornMillis,
					++this.lastReportSequence, "service", CAPACITY, List.of(), false), SimulatedFleet.this.nowMillis);
		}

		void kill(long downMillis) {
			if (!this.process.alive) {
				return;
			}
			this.process.kill();
			SimulatedFleet.this.entries.forEach((e) -> e.links.get(this.number).reset());
			schedule(SimulatedFleet.this.nowMillis + downMillis, this::boot);
		}

		void receive(Entry sender, Message message) {
			String link = String.valueOf(sender.number);
			this.lastHeardMillis.put(sender.number, SimulatedFleet.this.nowMillis);
			long nowMillis = SimulatedFleet.this.nowMillis;
			if (message instanceof EntryWelcome w) {
				this.supervisor.welcomed(link, w, nowMillis);
			}
			else if (message instanceof RunStart r) {
				this.supervisor.start(link, r, nowMillis);
			}
			else if (message instanceof LeaseGrant g) {
				this.supervisor.granted(link, g);
			}
			else if (message instanceof RunStop r) {
				this.supervisor.stop(link, r.run(), nowMillis);
			}
			this.supervisor.flush(nowMillis);
		}

		private void callEndpoint(Runnable request, Runnable onAnswer, Runnable onTimeout) {
			int generation = this.process.generation;
			if (SimulatedFleet.this.random.nextDouble() < this.delayedCallShare) {
				schedule(SimulatedFleet.this.nowMillis + 2_000 + SimulatedFleet.this.random.nextInt(10_000), request);
				schedule(SimulatedFleet.this.nowMillis + 80, () -> deliverAnswer(generation, onTimeout));
				return;
			}
			schedule(SimulatedFleet.this.nowMillis + 1, () -> {
				request.run();
				schedule(SimulatedFleet.this.nowMillis + 1, () -> deliverAnswer(generation, onAnswer));
			});
		}

		private void deliverAnswer(int generation, Runnable onAnswer) {
			if (generation == this.process.generation) {
				this.process.deliver(() -> {
					onAnswer.run();
					this.supervisor.flush(SimulatedFleet.this.nowMillis);
				});
			}
		}

		@Override
		public void attach(EndpointReport report) {
		}

		@Override
		public void start(RunKey run, String payload, long leaseUntilMillis, long fence) {
			double deadlineMillis = this.endpoint.deadlineMillis(leaseUntilMillis - SimulatedFleet.this.nowMillis,
					SimulatedFleet.this.nowMillis);
			JobSubmission order = SimulatedFleet.this.callers.get(run.jobId()).order;
			Step step = order.steps().get(0);
			StartAnswer[] answer = new StartAnswer[1];
			callEndpoint(() -> {
				long nowMillis = SimulatedFleet.this.nowMillis;
				SimulatedFleet.this.agents.forEach((a) -> a.endpoint.advance(nowMillis));
				boolean alreadyPresent = this.endpoint.presentRuns.containsKey(run.task());
				answer[0] = this.endpoint.start(run.task(), run.number(), step.resources(), step.estimateMillis(),
						deadlineMillis, fence, nowMillis);
				if (answer[0] == StartAnswer.STARTED && !alreadyPresent) {
					checkStart(this, run);
				}
			}, () -> this.supervisor.startAnswered(run, answer[0], SimulatedFleet.this.nowMillis),
					() -> this.supervisor.startAnswered(run, StartAnswer.UNKNOWN, SimulatedFleet.this.nowMillis));
		}

		@Override
		public void stop(String task, long number, long fence) {
			callEndpoint(() -> this.endpoint.stop(task, number, SimulatedFleet.this.nowMillis),
					() -> this.supervisor.stopConfirmed(task, number, SimulatedFleet.this.nowMillis), () -> {
					});
		}

		@Override
		public void poll(long leaseUntilMillis, long confirmed, long waitMillis, long fence) {
			long sentMillis = SimulatedFleet.this.nowMillis;
			double deadlineMillis = this.endpoint.deadlineMillis(leaseUntilMillis - sentMillis, sentMillis);
			RunInventory[] observation = new RunInventory[1];
			boolean[] fenced = new boolean[1];
			long delayMillis = Math.min(waitMillis, 10);
			callEndpoint(() -> {
				fenced[0] = !this.endpoint.admit(fence);
				if (!fenced[0]) {
					if (leaseUntilMillis > 0) {
						this.endpoint.extend(deadlineMillis, SimulatedFleet.this.nowMillis);
					}
					observation[0] = observe(sentMillis, confirmed);
				}
			}, () -> schedule(SimulatedFleet.this.nowMillis + delayMillis,
					() -> deliverAnswer(this.process.generation, () -> {
						if (fenced[0]) {
							this.supervisor.fenced(SimulatedFleet.this.nowMillis);
						}
						else {
							this.supervisor.pollAnswered(observation[0], SimulatedFleet.this.nowMillis);
						}
					})), () -> this.supervisor.pollFailed(SimulatedFleet.this.nowMillis));
		}

		private RunInventory observe(long sentMillis, long confirmed) {
			this.endpoint.advance(SimulatedFleet.this.nowMillis);
			List<EndedRun> ended = this.endpoint.endedRuns(confirmed);
			ended.stream()
				.filter((e) -> e.end() == RunEnd.DONE)
				.forEach((e) -> SimulatedFleet.this.callers.get(e.task().split("/")[0]).doneTasks.add(e.task()));
			return new RunInventory(sentMillis, this.endpoint.bornMillis,
					this.endpoint.presentRuns(SimulatedFleet.this.nowMillis), ended);
		}

		@Override
		public void probe(long confirmed, long fence) {
			long sentMillis = SimulatedFleet.this.nowMillis;
			RunInventory[] observation = new RunInventory[1];
			callEndpoint(() -> observation[0] = observe(sentMillis, confirmed),
					() -> this.supervisor.probeAnswered(Optional.ofNullable(observation[0]),
							SimulatedFleet.this.nowMillis),
					() -> this.supervisor.probeAnswered(Optional.empty(), SimulatedFleet.this.nowMillis));
		}

	}

	/**
	 * A link that preserves the order of messages. While it is partitioned, messages are
	 * delayed. A reset drops the messages in flight and opens the link again.
	 */
	private final class Link {

		private final Entry entry;

		private final Agent agent;

		/** Raised whenever the link is opened, which drops the messages in flight. */
		private long generation;

		private long partitionedUntilMillis;

		private long lastArrivalAtAgentMillis;

		private long lastArrivalAtEntryMillis;

		private boolean open;

		Link(Entry entry, Agent agent) {
			this.entry = entry;
			this.agent = agent;
		}

		void open() {
			long openedGeneration = ++this.generation;
			this.open = false;
			long openMillis = Math.max(SimulatedFleet.this.nowMillis + 5, this.partitionedUntilMillis);
			schedule(openMillis, () -> {
				if (openedGeneration != this.generation) {
					return;
				}
				if (!this.entry.process.alive || !this.agent.process.alive || this.entry.process.frozen()) {
					schedule(SimulatedFleet.this.nowMillis + 100, () -> {
						if (openedGeneration == this.generation) {
							open();
						}
					});
					return;
				}
				this.open = true;
				this.agent.process
					.deliver(() -> this.agent.lastHeardMillis.put(this.entry.number, SimulatedFleet.this.nowMillis));
				sendToAgent(new EntryWelcome("entry-" + this.entry.number, this.entry.incarnation,
						this.entry.dispatcher.registerLink(String.valueOf(this.agent.number)), 0));
			});
		}

		void reset() {
			if (this.open) {
				this.agent.process.deliver(() -> {
					this.agent.lastHeardMillis.remove(this.entry.number);
					this.agent.supervisor.unlinked(String.valueOf(this.entry.number));
				});
				this.entry.process
					.deliver(() -> this.entry.dispatcher.unregisterLink(String.valueOf(this.agent.number)));
			}
			open();
		}

		void partition(long millis) {
			this.partitionedUntilMillis = Math.max(this.partitionedUntilMillis, SimulatedFleet.this.nowMillis + millis);
		}

		void sendToAgent(Message message) {
			long sentGeneration = this.generation;
			if (this.open) {
				this.lastArrivalAtAgentMillis = Math.max(this.lastArrivalAtAgentMillis, arrivalMillis());
				schedule(this.lastArrivalAtAgentMillis, () -> {
					if (sentGeneration == this.generation) {
						this.agent.process.deliver(() -> this.agent.receive(this.entry, message));
					}
				});
			}
		}

		void sendToEntry(Message message) {
			long sentGeneration = this.generation;
			if (this.open) {
				this.lastArrivalAtEntryMillis = Math.max(this.lastArrivalAtEntryMillis, arrivalMillis());
				schedule(this.lastArrivalAtEntryMillis, () -> {
					if (sentGeneration == this.generation) {
						this.entry.process.deliver(() -> this.entry.receive(this.agent, message));
					}
				});
			}
		}

		private long arrivalMillis() {
			return Math.max(SimulatedFleet.this.nowMillis + 1, this.partitionedUntilMillis);
		}

	}

	private record Event(long atMillis, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			return (this.atMillis != other.atMillis) ? Long.compare(this.atMillis, other.atMillis)
					: Long.compare(this.sequence, other.sequence);
		}

	}

}
