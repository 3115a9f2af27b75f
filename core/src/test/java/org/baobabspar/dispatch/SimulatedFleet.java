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
 * Entries, agents, endpoints and callers on one simulated clock, with processes that are
 * killed or frozen, links that are reset or cut, and orders to endpoints that are carried
 * out late. Checks the promises from what endpoints and callers see. A history depends on
 * its seed alone. Used on one thread.
 */
final class SimulatedFleet {

	private static final Resources CAPACITY = new Resources(8_000, 1_024, 0);

	private static final Route ROUTE = new Route("route", "host", "/", "service", 0, 3, 1.6, 60, "");

	private static final long RETRY_MILLIS = 1_300;

	private static final long TIMEOUT_MILLIS = 6_000;

	private static final long STALL_MILLIS = 400;

	private static final long SILENT_LINK_MILLIS = 300;

	final List<String> broken = new ArrayList<>();

	/** What the processes logged, with the simulated time. */
	final List<String> trace = new ArrayList<>();

	int completed;

	int submitted;

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final List<Entry> entries = new ArrayList<>();

	private final List<Agent> agents = new ArrayList<>();

	private final Map<String, Call> calls = new HashMap<>();

	private final boolean faults;

	private long now = 100_000;

	private long sequence;

	private long lifetimes;

	SimulatedFleet(long seed, int entryCount, int agentCount, boolean faults) {
		this.random = new Random(seed);
		this.faults = faults;
		for (int i = 0; i < entryCount; i++) {
			this.entries.add(new Entry(i));
		}
		for (int i = 0; i < agentCount; i++) {
			this.agents.add(new Agent(i));
		}
		this.agents.forEach((a) -> a.boot());
	}

	private void at(long millis, Runnable run) {
		this.events.add(new Event(Math.max(millis, this.now), this.sequence++, run));
	}

	void run(long millis, long jobEveryMillis) {
		long end = this.now + millis;
		for (long t = this.now + 1_000; t < end - 10_000; t += jobEveryMillis) {
			at(t, this::newJob);
		}
		if (this.faults) {
			for (long t = this.now + 2_000; t < end - 12_000; t += 700 + this.random.nextInt(1_500)) {
				at(t, this::fault);
			}
		}
		while (!this.events.isEmpty() && this.events.peek().atMillis <= end) {
			Event e = this.events.remove();
			this.now = e.atMillis;
			e.run.run();
		}
	}

	private void trace(String process, String line) {
		this.trace.add(this.now + " " + process + " " + line);
	}

	private void fault() {
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
			case 5 -> e.links.get(a.number).cut(millis);
			case 6 -> e.links.forEach((l) -> l.cut(millis));
			case 7 -> {
				a.endpoint.restart(this.now);
				at(this.now + 300, a::report);
			}
			default -> {
				a.lateShare = 0.3;
				at(this.now + millis, () -> a.lateShare = 0);
			}
		}
	}

	private void checkStart(Agent at, RunKey run) {
		this.calls.get(run.jobId()).started(run.task());
		trace("endpoint-" + at.number, "start " + run);
		for (Agent a : this.agents) {
			if (a != at && a.endpoint.present.containsKey(run.task())) {
				this.broken.add("two runs at " + this.now + ": " + run + " on " + at.number + " and " + a.number);
			}
		}
		if (!at.endpoint.used().fitsInto(CAPACITY)) {
			this.broken.add("over capacity at " + this.now + ": " + run);
		}
	}

	// Callers

	private void newJob() {
		String id = "job-" + (++this.submitted);
		int tasks = 1 + this.random.nextInt(6);
		long work = 40 + this.random.nextInt(900);
		JobSubmission order = new JobSubmission(id, "payload",
				List.of(new Step(tasks, new Resources(1_000, 64, 0), work, List.of(), "", "", 0)));
		Call c = new Call(order);
		this.calls.put(id, c);
		c.send();
		if (this.random.nextInt(12) == 0) {
			at(this.now + this.random.nextInt(800), c::leave);
		}
	}

	private final class Call {

		private final JobSubmission order;

		private final Set<String> starts = new HashSet<>();

		private final Set<String> done = new HashSet<>();

		private boolean over;

		/** Whether an attempt waits for its answer. */
		private boolean inFlight;

		private boolean onlyRefused = true;

		private boolean refusedForGood;

		private int attempt;

		private Entry entry;

		private Consumer<JobReply> callback;

		Call(JobSubmission order) {
			this.order = order;
		}

		void send() {
			if (this.over || this.attempt > 5) {
				this.over = true;
				return;
			}
			int mine = ++this.attempt;
			this.entry = SimulatedFleet.this.entries
				.get(SimulatedFleet.this.random.nextInt(SimulatedFleet.this.entries.size()));
			Entry to = this.entry;
			if (!to.process.alive) {
				at(SimulatedFleet.this.now + RETRY_MILLIS, this::send);
				return;
			}
			Consumer<JobReply> own = (r) -> at(SimulatedFleet.this.now + 1, () -> answered(mine, r));
			this.callback = own;
			this.inFlight = true;
			to.process.deliver(() -> to.submit(this.order, own));
			at(SimulatedFleet.this.now + TIMEOUT_MILLIS, () -> broken(mine));
		}

		void broken(int mine) {
			if (!this.over && this.inFlight && mine == this.attempt) {
				this.inFlight = false;
				this.onlyRefused = false;
				hangUp();
				at(SimulatedFleet.this.now + RETRY_MILLIS, this::send);
			}
		}

		private void hangUp() {
			Entry to = this.entry;
			Consumer<JobReply> own = this.callback;
			if (to.process.alive) {
				to.process.deliver(() -> to.abandon(this.order.id(), own));
			}
		}

		void leave() {
			if (!this.over && this.inFlight) {
				this.over = true;
				this.onlyRefused = false;
				hangUp();
			}
		}

		private void answered(int mine, JobReply r) {
			if (this.over || !this.inFlight || mine != this.attempt) {
				return;
			}
			switch (r.outcome()) {
				case COMPLETED -> {
					this.over = true;
					SimulatedFleet.this.completed++;
					if (this.done.size() < this.order.taskCount()) {
						SimulatedFleet.this.broken.add("completed though tasks were not done: " + this.order.id());
					}
				}
				case FAILED -> {
					this.over = true;
				}
				case REFUSED -> {
					this.over = true;
					this.refusedForGood = this.onlyRefused;
					if (this.onlyRefused && !this.starts.isEmpty()) {
						SimulatedFleet.this.broken.add("refused though it had run: " + this.order.id());
					}
				}
				case UNKNOWN -> broken(mine);
			}
		}

		void started(String task) {
			this.starts.add(task);
			if (this.refusedForGood) {
				SimulatedFleet.this.broken.add("started after refusal: " + this.order.id());
			}
		}

	}

	// Processes

	/**
	 * A process that may be frozen: what is delivered then is taken in when it wakes.
	 */
	private final class Process {

		private final Deque<Runnable> waiting = new ArrayDeque<>();

		private boolean alive = true;

		private long frozenUntil;

		private int life;

		void freeze(long millis) {
			if (this.alive && SimulatedFleet.this.now >= this.frozenUntil) {
				this.frozenUntil = SimulatedFleet.this.now + millis;
				int mine = this.life;
				at(this.frozenUntil, () -> {
					if (mine == this.life) {
						thaw();
					}
				});
			}
		}

		private void thaw() {
			while (!this.waiting.isEmpty()) {
				this.waiting.remove().run();
			}
		}

		boolean frozen() {
			return SimulatedFleet.this.now < this.frozenUntil;
		}

		void deliver(Runnable r) {
			if (!this.alive) {
				return;
			}
			if (frozen() || !this.waiting.isEmpty()) {
				this.waiting.add(r);
			}
			else {
				r.run();
			}
		}

		void kill() {
			this.alive = false;
			this.life++;
			this.waiting.clear();
			this.frozenUntil = 0;
		}

	}

	private final class Entry implements DispatchOutbox {

		private final int number;

		private final Process process = new Process();

		private final List<Link> links = new ArrayList<>();

		private Dispatcher dispatcher;

		private long incarnation;

		private long lastTick;

		Entry(int number) {
			this.number = number;
			boot();
		}

		private void boot() {
			this.process.alive = true;
			SimulatedFleet.this.lifetimes++;
			this.incarnation = SimulatedFleet.this.lifetimes;
			this.dispatcher = new Dispatcher("domain", this);
			this.lastTick = SimulatedFleet.this.now;
			tickLater(this.process.life);
		}

		private void tickLater(int life) {
			at(SimulatedFleet.this.now + 20, () -> {
				if (life == this.process.life) {
					if (!this.process.frozen()) {
						enter();
						this.dispatcher.tick(SimulatedFleet.this.now);
					}
					tickLater(life);
				}
			});
		}

		private void enter() {
			long gap = SimulatedFleet.this.now - this.lastTick;
			this.lastTick = SimulatedFleet.this.now;
			if (gap > STALL_MILLIS) {
				this.dispatcher.declineAll("stalled", SimulatedFleet.this.now);
			}
		}

		void submit(JobSubmission order, Consumer<JobReply> caller) {
			enter();
			this.dispatcher.submit(order, ROUTE, TIMEOUT_MILLIS, caller, SimulatedFleet.this.now);
			this.dispatcher.place(SimulatedFleet.this.now);
		}

		void abandon(String id, Consumer<JobReply> caller) {
			enter();
			this.dispatcher.abandon(id, caller, SimulatedFleet.this.now);
		}

		void kill(long downMillis) {
			if (!this.process.alive) {
				return;
			}
			this.process.kill();
			this.links.forEach(Link::reset);
			for (Call c : SimulatedFleet.this.calls.values()) {
				if (!c.over && c.inFlight && c.entry == this) {
					int mine = c.attempt;
					at(SimulatedFleet.this.now + 3, () -> c.broken(mine));
				}
			}
			at(SimulatedFleet.this.now + downMillis, this::boot);
		}

		@Override
		public void send(String link, Message m) {
			this.links.get(Integer.parseInt(link)).toAgent(m);
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
		public void recordJobEnd(String route, JobReply reply, long millis) {
		}

		void take(Agent from, Message m) {
			enter();
			String link = String.valueOf(from.number);
			long t = SimulatedFleet.this.now;
			if (m instanceof LeaseRequest r) {
				this.dispatcher.handleLeaseRequest(link, r, t);
			}
			else if (m instanceof RunEnded e) {
				this.dispatcher.handleRunEnded(link, e, t);
			}
			else if (m instanceof SupervisorHello h) {
				this.dispatcher.handleHello(link, h, t);
			}
			this.dispatcher.place(t);
		}

	}

	private final class Agent implements EndpointDriver {

		private final int number;

		private final Process process = new Process();

		private final SimulatedEndpoint endpoint;

		private final Map<Integer, Long> heard = new HashMap<>();

		private RunSupervisor supervisor;

		private long reports;

		private double lateShare;

		Agent(int number) {
			this.number = number;
			this.endpoint = new SimulatedEndpoint(
					SimulatedEndpoint.SLOWEST_CLOCK + 0.02 * SimulatedFleet.this.random.nextDouble());
			this.endpoint.restart(SimulatedFleet.this.now);
			SimulatedFleet.this.entries.forEach((e) -> e.links.add(new Link(e, this)));
		}

		private void boot() {
			this.process.alive = true;
			SimulatedFleet.this.lifetimes++;
			long life = SimulatedFleet.this.lifetimes;
			this.heard.clear();
			this.supervisor = new RunSupervisor("agent-" + this.number, life, "domain", life * 1_000, this, (link,
					m) -> SimulatedFleet.this.entries.get(Integer.parseInt(link)).links.get(this.number).toEntry(m),
					(line) -> trace("agent-" + this.number, line));
			report();
			SimulatedFleet.this.entries.forEach((e) -> e.links.get(this.number).open());
			tickLater(this.process.life);
			reportLater(this.process.life);
		}

		private void tickLater(int life) {
			at(SimulatedFleet.this.now + 40, () -> {
				if (life == this.process.life) {
					if (!this.process.frozen()) {
						this.supervisor.tick(SimulatedFleet.this.now);
						this.supervisor.flush(SimulatedFleet.this.now);
						closeSilent();
					}
					tickLater(life);
				}
			});
		}

		private void closeSilent() {
			for (Map.Entry<Integer, Long> h : List.copyOf(this.heard.entrySet())) {
				if (SimulatedFleet.this.now - h.getValue() > SILENT_LINK_MILLIS) {
					this.heard.put(h.getKey(), SimulatedFleet.this.now);
					SimulatedFleet.this.entries.get(h.getKey()).links.get(this.number).reset();
				}
			}
		}

		private void reportLater(int life) {
			at(SimulatedFleet.this.now + 1_500, () -> {
				if (life == this.process.life) {
					this.process.deliver(this::report);
					reportLater(life);
				}
			});
		}

		private void report() {
			this.supervisor.report(new EndpointReport("endpoint-" + this.number, this.endpoint.bornMillis,
					++this.reports, "service", CAPACITY, List.of(), false), SimulatedFleet.this.now);
		}

		void kill(long downMillis) {
			if (!this.process.alive) {
				return;
			}
			this.process.kill();
			SimulatedFleet.this.entries.forEach((e) -> e.links.get(this.number).reset());
			at(SimulatedFleet.this.now + downMillis, this::boot);
		}

		void take(Entry from, Message m) {
			String link = String.valueOf(from.number);
			this.heard.put(from.number, SimulatedFleet.this.now);
			long t = SimulatedFleet.this.now;
			if (m instanceof EntryWelcome w) {
				this.supervisor.welcomed(link, w, t);
			}
			else if (m instanceof RunStart r) {
				this.supervisor.start(link, r, t);
			}
			else if (m instanceof LeaseGrant g) {
				this.supervisor.granted(link, g);
			}
			else if (m instanceof RunStop r) {
				this.supervisor.stop(link, r.run(), t);
			}
			this.supervisor.flush(t);
		}

		private void call(Runnable order, Runnable answer, Runnable noAnswer) {
			int life = this.process.life;
			if (SimulatedFleet.this.random.nextDouble() < this.lateShare) {
				at(SimulatedFleet.this.now + 2_000 + SimulatedFleet.this.random.nextInt(10_000), order);
				at(SimulatedFleet.this.now + 80, () -> back(life, noAnswer));
				return;
			}
			at(SimulatedFleet.this.now + 1, () -> {
				order.run();
				at(SimulatedFleet.this.now + 1, () -> back(life, answer));
			});
		}

		private void back(int life, Runnable answer) {
			if (life == this.process.life) {
				this.process.deliver(() -> {
					answer.run();
					this.supervisor.flush(SimulatedFleet.this.now);
				});
			}
		}

		@Override
		public void attach(EndpointReport report) {
		}

		@Override
		public void start(RunKey run, String payload, long leaseMillis, long fence) {
			double deadline = this.endpoint.deadline(leaseMillis, SimulatedFleet.this.now);
			JobSubmission order = SimulatedFleet.this.calls.get(run.jobId()).order;
			Step step = order.steps().get(0);
			StartAnswer[] answer = new StartAnswer[1];
			call(() -> {
				long t = SimulatedFleet.this.now;
				SimulatedFleet.this.agents.forEach((a) -> a.endpoint.work(t));
				boolean before = this.endpoint.present.containsKey(run.task());
				answer[0] = this.endpoint.start(run.task(), run.number(), step.resources(), step.estimateMillis(),
						deadline, fence, t);
				if (answer[0] == StartAnswer.STARTED && !before) {
					checkStart(this, run);
				}
			}, () -> this.supervisor.startAnswered(run, answer[0], SimulatedFleet.this.now),
					() -> this.supervisor.startAnswered(run, StartAnswer.UNKNOWN, SimulatedFleet.this.now));
		}

		@Override
		public void stop(String task, long number, long fence) {
			call(() -> this.endpoint.stop(task, number, SimulatedFleet.this.now),
					() -> this.supervisor.stopConfirmed(task, number, SimulatedFleet.this.now), () -> {
					});
		}

		@Override
		public void poll(long leaseMillis, long confirmed, long waitMillis, long fence) {
			long sent = SimulatedFleet.this.now;
			double deadline = this.endpoint.deadline(leaseMillis, sent);
			RunInventory[] seen = new RunInventory[1];
			boolean[] fenced = new boolean[1];
			long wait = Math.min(waitMillis, 10);
			call(() -> {
				fenced[0] = !this.endpoint.admit(fence);
				if (!fenced[0]) {
					if (leaseMillis > 0) {
						this.endpoint.extend(deadline, SimulatedFleet.this.now);
					}
					seen[0] = observe(sent, confirmed);
				}
			}, () -> at(SimulatedFleet.this.now + wait, () -> back(this.process.life, () -> {
				if (fenced[0]) {
					this.supervisor.fenced(SimulatedFleet.this.now);
				}
				else {
					this.supervisor.pollAnswered(seen[0], SimulatedFleet.this.now);
				}
			})), () -> this.supervisor.pollFailed(SimulatedFleet.this.now));
		}

		private RunInventory observe(long sent, long confirmed) {
			this.endpoint.work(SimulatedFleet.this.now);
			List<EndedRun> ended = this.endpoint.ended(confirmed);
			ended.stream()
				.filter((e) -> e.end() == RunEnd.DONE)
				.forEach((e) -> SimulatedFleet.this.calls.get(e.task().split("/")[0]).done.add(e.task()));
			return new RunInventory(sent, this.endpoint.bornMillis, this.endpoint.present(SimulatedFleet.this.now),
					ended);
		}

		@Override
		public void probe(long confirmed, long fence) {
			long sent = SimulatedFleet.this.now;
			RunInventory[] seen = new RunInventory[1];
			call(() -> seen[0] = observe(sent, confirmed),
					() -> this.supervisor.probeAnswered(Optional.ofNullable(seen[0]), SimulatedFleet.this.now),
					() -> this.supervisor.probeAnswered(Optional.empty(), SimulatedFleet.this.now));
		}

	}

	/**
	 * A link that keeps the order of its messages. Cut, it keeps them back; reset, it
	 * drops them and opens again.
	 */
	private final class Link {

		private final Entry entry;

		private final Agent agent;

		private long generation;

		private long cutUntil;

		private long lastToAgent;

		private long lastToEntry;

		private boolean open;

		Link(Entry entry, Agent agent) {
			this.entry = entry;
			this.agent = agent;
		}

		void open() {
			long mine = ++this.generation;
			this.open = false;
			long when = Math.max(SimulatedFleet.this.now + 5, this.cutUntil);
			at(when, () -> {
				if (mine != this.generation) {
					return;
				}
				if (!this.entry.process.alive || !this.agent.process.alive || this.entry.process.frozen()) {
					at(SimulatedFleet.this.now + 100, () -> {
						if (mine == this.generation) {
							open();
						}
					});
					return;
				}
				this.open = true;
				this.agent.process.deliver(() -> this.agent.heard.put(this.entry.number, SimulatedFleet.this.now));
				toAgent(new EntryWelcome("entry-" + this.entry.number, this.entry.incarnation,
						this.entry.dispatcher.registerLink(String.valueOf(this.agent.number)), 0));
			});
		}

		void reset() {
			if (this.open) {
				this.agent.process.deliver(() -> {
					this.agent.heard.remove(this.entry.number);
					this.agent.supervisor.unlinked(String.valueOf(this.entry.number));
				});
				this.entry.process
					.deliver(() -> this.entry.dispatcher.unregisterLink(String.valueOf(this.agent.number)));
			}
			open();
		}

		void cut(long millis) {
			this.cutUntil = Math.max(this.cutUntil, SimulatedFleet.this.now + millis);
		}

		void toAgent(Message m) {
			long mine = this.generation;
			if (this.open) {
				this.lastToAgent = Math.max(this.lastToAgent, arrival());
				at(this.lastToAgent, () -> {
					if (mine == this.generation) {
						this.agent.process.deliver(() -> this.agent.take(this.entry, m));
					}
				});
			}
		}

		void toEntry(Message m) {
			long mine = this.generation;
			if (this.open) {
				this.lastToEntry = Math.max(this.lastToEntry, arrival());
				at(this.lastToEntry, () -> {
					if (mine == this.generation) {
						this.entry.process.deliver(() -> this.entry.take(this.agent, m));
					}
				});
			}
		}

		private long arrival() {
			return Math.max(SimulatedFleet.this.now + 1, this.cutUntil);
		}

	}

	private record Event(long atMillis, long order, Runnable run) implements Comparable<Event> {

		@Override
		public int compareTo(Event o) {
			return (this.atMillis != o.atMillis) ? Long.compare(this.atMillis, o.atMillis)
					: Long.compare(this.order, o.order);
		}

	}

}
