package org.baobabspar.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.baobabspar.fleet.JobSubmission;
import org.baobabspar.fleet.Resources;
import org.baobabspar.fleet.Route;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.baobabspar.fleet.Step;
import org.baobabspar.message.EntryWelcome;
import org.baobabspar.message.JobClaim;
import org.baobabspar.message.JobClaimReply;
import org.baobabspar.message.LeaseGrant;
import org.baobabspar.message.LeaseRequest;
import org.baobabspar.message.Message;
import org.baobabspar.message.RunEnded;
import org.baobabspar.message.RunStart;
import org.baobabspar.message.RunStop;
import org.baobabspar.message.SupervisorHello;
import org.baobabspar.supervise.EndedRun;
import org.baobabspar.supervise.EndpointDriver;
import org.baobabspar.supervise.EndpointLease;
import org.baobabspar.supervise.EndpointReport;
import org.baobabspar.supervise.PresentRun;
import org.baobabspar.supervise.RunInventory;
import org.baobabspar.supervise.RunSupervisor;
import org.baobabspar.supervise.StartAnswer;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;

/**
 * Two entries and two agents, all linked to each other, whose messages arrive when the
 * test delivers them. Each entry prefers the agent of its own failure domain. Time stands
 * still unless the test advances it. Used on one thread.
 */
abstract class LinkedFleetFixture {

	private static final Route ROUTE = new Route("route", "host", "/p/", "service", 0, 2, 1.6, 60, "");

	private static final Resources CORE = new Resources(1_000, 64, 0);

	private static final int MAX_MESSAGES = 1_000;

	/** Longer than any claim waits before it is repeated. */
	private static final long STEP_MILLIS = 50;

	long nowMillis;

	TestEntry first;

	TestEntry second;

	List<TestAgent> agents;

	/** Messages on their way, the oldest first. */
	private Deque<Runnable> messages;

	@BeforeMethod
	void createFleet() {
		this.nowMillis = 100_000;
		this.messages = new ArrayDeque<>();
		this.first = new TestEntry("entry-1", "domain-1");
		this.second = new TestEntry("entry-2", "domain-2");
		this.agents = List.of(new TestAgent("agent-1", "domain-1"), new TestAgent("agent-2", "domain-2"));
		for (TestEntry entry : List.of(this.first, this.second)) {
			this.agents.forEach(entry::link);
		}
		deliver();
	}

	/**
	 * Delivers all messages, and those that are sent in response. Fails if processes
	 * answer each other for ever.
	 */
	void deliver() {
		for (int i = 0; !this.messages.isEmpty(); i++) {
			Assert.assertTrue(i < MAX_MESSAGES, "messages without end");
			this.messages.remove().run();
			this.agents.forEach((agent) -> agent.supervisor.flush(this.nowMillis));
		}
	}

	/** Lets some milliseconds pass and delivers what is sent meanwhile. */
	void advance() {
		this.nowMillis += STEP_MILLIS;
		this.agents.forEach(TestAgent::tick);
		deliver();
		this.first.dispatcher.tick(this.nowMillis);
		this.second.dispatcher.tick(this.nowMillis);
		deliver();
	}

	/**
	 * Returns where runs of a task are present, whatever the entries know of them.
	 * @param task name of the task
	 * @return the names of the agents
	 */
	List<String> agentsWithRunOf(String task) {
		return this.agents.stream()
			.filter((agent) -> agent.present.stream().anyMatch((run) -> run.task().equals(task)))
			.map((agent) -> agent.name)
			.toList();
	}

	/** An entry, with its links. */
	final class TestEntry implements DispatchOutbox {

		final Dispatcher dispatcher;

		final List<JobReply> replies = new ArrayList<>();

		private final String name;

		private final Map<String, TestAgent> links = new LinkedHashMap<>();

		TestEntry(String name, String domain) {
			this.name = name;
			this.dispatcher = new Dispatcher(domain, this);
		}

		private void link(TestAgent agent) {
			this.links.put(agent.name, agent);
			agent.links.put(this.name, this);
			long number = this.dispatcher.registerLink(agent.name);
			agent.supervisor.welcomed(this.name, new EntryWelcome(this.name, 7, number, 0),
					LinkedFleetFixture.this.nowMillis);
		}

		Consumer<JobReply> submit(String jobId, boolean fresh) {
			Consumer<JobReply> caller = this.replies::add;
			JobSubmission order = new JobSubmission(jobId, "payload",
					List.of(new Step(1, CORE, 1_200, List.of(), "", "", 0)));
			this.dispatcher.submit(order, ROUTE, 10_000, fresh, caller, LinkedFleetFixture.this.nowMillis);
			this.dispatcher.place(LinkedFleetFixture.this.nowMillis);
			return caller;
		}

		/**
		 * Reads that a caller has closed its connection.
		 * @param jobId its job
		 * @param caller the caller
		 */
		void readClose(String jobId, Consumer<JobReply> caller) {
			this.dispatcher.abandon(jobId, caller, LinkedFleetFixture.this.nowMillis);
		}

		private void receive(String link, Message message) {
			long nowMillis = LinkedFleetFixture.this.nowMillis;
			if (message instanceof LeaseRequest request) {
				this.dispatcher.handleLeaseRequest(link, request, nowMillis);
			}
			else if (message instanceof RunEnded ended) {
				this.dispatcher.handleRunEnded(link, ended, nowMillis);
			}
			else if (message instanceof SupervisorHello hello) {
				this.dispatcher.handleHello(link, hello, nowMillis);
			}
			else if (message instanceof JobClaim claim) {
				this.dispatcher.handleJobClaim(link, claim, nowMillis);
			}
			else if (message instanceof JobClaimReply reply) {
				this.dispatcher.handleJobClaimReply(link, reply, nowMillis);
			}
			this.dispatcher.place(nowMillis);
		}

		@Override
		public void send(String link, Message message) {
			TestAgent agent = this.links.get(link);
			LinkedFleetFixture.this.messages.add(() -> agent.receive(this.name, message));
		}

		@Override
		public void close(String link) {
		}

		@Override
		public void log(String line) {
		}

		@Override
		public void recordJobEnd(String route, JobReply reply, long ageMillis) {
		}

	}

	/** An agent, with an endpoint that carries out its calls at once. */
	final class TestAgent implements EndpointDriver {

		final RunSupervisor supervisor;

		final Set<RunKey> present = new LinkedHashSet<>();

		private final String name;

		private final Map<String, TestEntry> links = new LinkedHashMap<>();

		private final List<EndedRun> ended = new ArrayList<>();

		private int percent;

		TestAgent(String name, String domain) {
			this.name = name;
			this.supervisor = new RunSupervisor(name, 1, domain, 1, this, (link,
					message) -> LinkedFleetFixture.this.messages.add(() -> this.links.get(link).receive(name, message)),
					(line) -> {
					});
			this.supervisor.report(
					new EndpointReport("endpoint-" + name, 1, 1, "service", CORE.times(8), List.of(), false),
					LinkedFleetFixture.this.nowMillis);
			answerPoll();
		}

		private void receive(String link, Message message) {
			long nowMillis = LinkedFleetFixture.this.nowMillis;
			if (message instanceof RunStart start) {
				this.supervisor.start(link, start, nowMillis);
			}
			else if (message instanceof RunStop stop) {
				this.supervisor.stop(link, stop.run(), nowMillis);
			}
			else if (message instanceof LeaseGrant grant) {
				this.supervisor.granted(link, grant, nowMillis);
			}
			else if (message instanceof JobClaim claim) {
				this.supervisor.claim(link, claim, nowMillis);
			}
			else if (message instanceof JobClaimReply reply) {
				this.supervisor.claimAnswered(link, reply);
			}
		}

		/** Lists the runs, each with some progress, and their ends. */
		private void answerPoll() {
			this.percent = Math.min(99, this.percent + 1);
			List<PresentRun> listed = this.present.stream()
				.map((run) -> new PresentRun(run.task(), run.number(), this.percent))
				.toList();
			this.supervisor.pollAnswered(
					new RunInventory(LinkedFleetFixture.this.nowMillis, 1, listed, List.copyOf(this.ended)),
					LinkedFleetFixture.this.nowMillis);
		}

		private void tick() {
			answerPoll();
			this.supervisor.tick(LinkedFleetFixture.this.nowMillis);
			this.supervisor.flush(LinkedFleetFixture.this.nowMillis);
		}

		@Override
		public void start(RunKey run, String payload, EndpointLease lease, long fencingToken) {
			this.present.add(run);
			LinkedFleetFixture.this.messages
				.add(() -> this.supervisor.startAnswered(run, StartAnswer.STARTED, LinkedFleetFixture.this.nowMillis));
		}

		@Override
		public void stop(String task, long number, long fencingToken) {
			LinkedFleetFixture.this.messages.add(() -> {
				if (this.present.removeIf((run) -> run.task().equals(task))) {
					this.ended.add(new EndedRun(this.ended.size() + 1, task, number, RunEnd.STOPPED));
					answerPoll();
				}
			});
		}

		@Override
		public void attach(EndpointReport report) {
		}

		@Override
		public void poll(EndpointLease lease, long confirmedEnds, long waitMillis, long fencingToken) {
		}

		@Override
		public void probe(long confirmedEnds, long fencingToken) {
		}

	}

}
