package org.baobabspar.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.baobabspar.agent.AgentCore;
import org.baobabspar.agent.AgentOutbox;
import org.baobabspar.agent.AgentSettings;
import org.baobabspar.agent.LedgerTask;
import org.baobabspar.document.DocumentVersion;
import org.baobabspar.document.EnvironmentDocument;
import org.baobabspar.document.Limits;
import org.baobabspar.document.Party;
import org.baobabspar.document.TaskClass;
import org.baobabspar.message.AgentInfo;
import org.baobabspar.message.EntryInfo;
import org.baobabspar.message.Message;
import org.baobabspar.model.CodeFamily;
import org.baobabspar.model.JobAnswer;
import org.baobabspar.model.JobSpec;
import org.baobabspar.model.ResultCode;
import org.baobabspar.model.Stage;
import org.baobabspar.model.TaskSpec;

/**
 * A simulated cluster of entries, agents and endpoints that runs the real decision cores
 * on a virtual clock and a simulated network, both controlled by the test. After every
 * start and every answer it checks that no task starts twice, that answers are complete
 * and belong to their requests, and that a job answered as not run was not run. Not
 * thread-safe.
 */
final class SimulatedCluster {

	static final EnvironmentDocument DOCUMENT = new EnvironmentDocument("test",
			List.of(new Party("p", 0.5, 1000), new Party("q", 0.5, 1000)),
			List.of(new TaskClass("plain", 1, 60_000, true, 0.1), new TaskClass("once", 0, 60_000, false, 0)),
			new Limits(0, 0.34));

	private static final EntrySettings SETTINGS = new EntrySettings(60_000, 3_000, 500, 1_500, 5_000, 2_000, 1_000,
			1_000, 500, 1_500, 1_000, 1_000_000, PlacementPolicy.EXPECTED_FINISH);

	private static final boolean TRACE = Long.getLong("explorer.seed", -1) >= 0;

	final Random random;

	final Map<String, Node> nodes = new LinkedHashMap<>();

	final List<Connection> connections = new ArrayList<>();

	final Map<String, Integer> startCounts = new TreeMap<>();

	final Map<Long, Request> requests = new LinkedHashMap<>();

	final Map<String, Integer> lastAttempts = new HashMap<>();

	final Map<String, Long> firstSubmitMillis = new HashMap<>();

	final Map<String, Integer> lastAttemptNotRun = new HashMap<>();

	final Set<String> blockedDirections = new LinkedHashSet<>();

	final List<String> events = new ArrayList<>();

	long nowMillis = 1_000_000;

	boolean padResults;

	private long lastId;

	SimulatedCluster(long seed) {
		this.random = new Random(seed);
	}

	void addEntry(String name) {
		EntryNode entry = new EntryNode(name);
		this.nodes.put(name, entry);
		entry.boot();
	}

	void addAgent(String name, int slots) {
		AgentNode agent = new AgentNode(name, slots);
		this.nodes.put(name, agent);
		agent.boot();
	}

	EntryNode entryNode(String name) {
		return (EntryNode) this.nodes.get(name);
	}

	AgentNode agentNode(String name) {
		return (AgentNode) this.nodes.get(name);
	}

	List<EntryNode> entries() {
		return this.nodes.values().stream().filter(EntryNode.class::isInstance).map(EntryNode.class::cast).toList();
	}

	List<AgentNode> agents() {
		return this.nodes.values().stream().filter(AgentNode.class::isInstance).map(AgentNode.class::cast).toList();
	}

	static JobSpec jobSpec(String key, String taskClass, int tasks, int attempt, long ageMillis) {
		List<TaskSpec> specs = new ArrayList<>();
		for (int i = 0; i < tasks; i++) {
			specs.add(new TaskSpec(("payload-" + i).getBytes(StandardCharsets.UTF_8), 100, 0));
		}
		return new JobSpec("p", taskClass, key, attempt, ageMillis, 30_000, Stage.PRODUCTION, specs);
	}

	/**
	 * Submits the next attempt of a job with a correctly declared attempt number and age.
	 */
	Request submit(String entryName, String key, String taskClass, int tasks) {
		int attempt = this.lastAttempts.merge(key, 1, Integer::sum);
		long first = this.firstSubmitMillis.computeIfAbsent(key, (k) -> this.nowMillis);
		return submit(entryName, jobSpec(key, taskClass, tasks, attempt, this.nowMillis - first));
	}

	Request submit(String entryName, JobSpec spec) {
		EntryNode entry = entryNode(entryName);
		this.lastAttempts.merge(spec.key(), spec.attempt(), Math::max);
		Request request = new Request(++this.lastId, entry, spec);
		this.requests.put(request.id, request);
		logEvent("submit " + spec.id() + " attempt " + spec.attempt() + " at " + entryName);
		if (entry.alive) {
			entry.inbox.add(() -> entry.core.submit(entry.clockMillis(), request.id, spec));
			entry.drainInbox();
		}
		return request;
	}

	void cancel(String entryName, String key) {
		EntryNode entry = entryNode(entryName);
		logEvent("cancel " + key + " at " + entryName);
		if (entry.alive) {
			long id = ++this.lastId;
			entry.inbox.add(() -> entry.core.cancel(entry.clockMillis(), id, "p/" + key));
			entry.drainInbox();
		}
	}

	void logEvent(String event) {
		this.events.add(this.nowMillis + " " + event);
	}

	/**
	 * Advances the clock in steps of at most 50 ms, delivering all messages and running
	 * the ticks of all nodes.
	 */
	void advance(long millis) {
		long end = this.nowMillis + millis;
		while (this.nowMillis < end) {
			deliverAll();
			this.nowMillis += Math.min(50, end - this.nowMillis);
			this.nodes.values().forEach(Node::tick);
		}
		deliverAll();
	}

	/** Delivers messages until no more can be delivered. */
	void deliverAll() {
		boolean moved = true;
		while (moved) {
			moved = false;
			for (Connection connection : List.copyOf(this.connections)) {
				while (connection.deliver(true) || connection.deliver(false)) {
					moved = true;
				}
			}
		}
	}

	/** Completes all running tasks and delivers their results. */
	void completeRunningTasks() {
		for (AgentNode agent : agents()) {
			List.copyOf(agent.running.values()).forEach((t) -> agent.endTask(t, ResultCode.COMPLETE));
		}
		deliverAll();
	}

	void blockTraffic(String from, String to) {
		this.blockedDirections.add(from + ">" + to);
		logEvent("block " + from + " > " + to);
	}

	void unblockTraffic() {
		this.blockedDirections.clear();
		logEvent("unblock all");
	}

	private boolean canReach(Node from, Node to) {
		return !this.blockedDirections.contains(from.name + ">" + to.name);
	}

	int startsOf(String key) {
		return this.startCounts.entrySet()
			.stream()
			.filter((e) -> e.getKey().startsWith("p/" + key + "#"))
			.mapToInt(Map.Entry::getValue)
			.sum();
	}

	private void recordStart(String task, String jobId) {
		int count = this.startCounts.merge(task, 1, Integer::sum);
		logEvent("start " + task);
		verify(count == 1, task + " was started " + count + " times");
		String key = jobId.substring(2);
		int refused = this.lastAttemptNotRun.getOrDefault(key, 0);
		verify(refused == 0 || this.lastAttempts.get(key) > refused,
				task + " was started after attempt " + refused + " was answered as not run");
	}

	private void recordAnswer(Request request, JobAnswer answer) {
		verify(request.answer == null, "request " + request.id + " was answered twice");
		request.answer = answer;
		logEvent("answer " + request.spec.id() + " attempt " + request.spec.attempt() + " " + answer.resultCode());
		verify(answer.jobId().equals(request.spec.id()),
				"request for " + request.spec.id() + " got the answer of " + answer.jobId());
		if (answer.resultCode() == ResultCode.COMPLETE) {
			verify(answer.results().size() == request.spec.tasks().size(),
					"a complete answer does not have one result for each task");
			for (int i = 0; i < answer.results().size(); i++) {
				String expected = request.spec.id() + "#" + i;
				verify(expected.equals(new String(answer.results().get(i), StandardCharsets.UTF_8).trim()),
						"the answer contains the result of another task");
				verify(this.startCounts.getOrDefault(expected, 0) == 1,
						expected + " has a result but was not started exactly once");
			}
		}
		boolean keyReused = answer.resultCode() == ResultCode.KEY_REUSED;
		if (answer.resultCode().family() == CodeFamily.NOT_RUN && !keyReused) {
			verify(startsOf(request.spec.key()) == 0,
					request.spec.id() + " was answered as not run and had been started");
			this.lastAttemptNotRun.merge(request.spec.key(), request.spec.attempt(), Math::max);
		}
	}

	void verify(boolean condition, String failureMessage) {
		if (!condition) {
			throw new AssertionError(failureMessage + "\n" + String.join("\n", this.events));
		}
	}

	String describe() {
		StringBuilder description = new StringBuilder();
		for (EntryNode entry : entries()) {
			description.append("\n").append(entry.name).append(' ').append(entry.core.peers());
			entry.core.agents().forEach((a) -> description.append("\n  ").append(a));
		}
		return description.toString();
	}

	/** The request of a caller. */
	static final class Request {

		final long id;

		final EntryNode entry;

		final int incarnation;

		final JobSpec spec;

		JobAnswer answer;

		Request(long id, EntryNode entry, JobSpec spec) {
			this.id = id;
			this.entry = entry;
			this.incarnation = entry.incarnation;
			this.spec = spec;
		}

		ResultCode code() {
			return (this.answer != null) ? this.answer.resultCode() : null;
		}

	}

	/** A simulated process. */
	abstract class Node {

		final String name;

		final long clockOffset = SimulatedCluster.this.random.nextInt(1_000_000);

		final Deque<Runnable> inbox = new ArrayDeque<>();

		final Set<String> dialedAddresses = new LinkedHashSet<>();

		boolean alive;

		boolean paused;

		int incarnation;

		Node(String name) {
			this.name = name;
		}

		abstract void boot();

		abstract void linkUp(String link);

		abstract void deliver(String link, Message message);

		abstract void linkDown(String link, boolean refused);

		abstract void tickCore();

		long clockMillis() {
			return SimulatedCluster.this.nowMillis + this.clockOffset;
		}

		boolean isRunning() {
			return this.alive && !this.paused;
		}

		void crash() {
			SimulatedCluster.this.logEvent("crash " + this.name);
			this.alive = false;
			this.paused = false;
			this.inbox.clear();
			this.dialedAddresses.clear();
			List.copyOf(SimulatedCluster.this.connections)
				.stream()
				.filter((c) -> c.connects(this))
				.forEach(Connection::close);
		}

		void restart() {
			if (this.alive) {
				crash();
			}
			SimulatedCluster.this.logEvent("restart " + this.name);
			boot();
		}

		void pause() {
			SimulatedCluster.this.logEvent("pause " + this.name);
			this.paused = true;
		}

		void resume() {
			SimulatedCluster.this.logEvent("resume " + this.name);
			this.paused = false;
			drainInbox();
		}

		void drainInbox() {
			while (isRunning() && !this.inbox.isEmpty()) {
				this.inbox.poll().run();
			}
		}

		void tick() {
			if (isRunning()) {
				connect();
				tickCore();
			}
		}

		void connect() {
			for (String address : List.copyOf(this.dialedAddresses)) {
				boolean open = SimulatedCluster.this.connections.stream()
					.anyMatch((c) -> c.client == this && c.address.equals(address) && c.open);
				Node target = SimulatedCluster.this.nodes.get(address.split(":")[0]);
				if (open || target == null || !SimulatedCluster.this.canReach(this, target)
						|| !SimulatedCluster.this.canReach(target, this)) {
					continue;
				}
				if (target.alive) {
					Connection connection = new Connection(this, target, address);
					SimulatedCluster.this.connections.add(connection);
					linkUp(address);
				}
				else {
					linkDown(address, true);
				}
			}
		}

		void send(String link, Message message) {
			for (Connection connection : SimulatedCluster.this.connections) {
				if (connection.open && connection.client == this && connection.address.equals(link)) {
					connection.toServer.add(message);
				}
				else if (connection.open && connection.server == this && connection.serverName.equals(link)) {
					connection.toClient.add(message);
				}
			}
		}

	}

	/**
	 * A simulated TCP connection, which delivers messages in order in both directions
	 * until it is closed.
	 */
	final class Connection {

		final Node client;

		final Node server;

		final String address;

		final String serverName = "in-" + (++SimulatedCluster.this.lastId);

		final Deque<Message> toServer = new ArrayDeque<>();

		final Deque<Message> toClient = new ArrayDeque<>();

		boolean open = true;

		boolean duplicating;

		Connection(Node client, Node server, String address) {
			this.client = client;
			this.server = server;
			this.address = address;
		}

		boolean connects(Node node) {
			return this.client == node || this.server == node;
		}

		boolean deliver(boolean forward) {
			Node from = forward ? this.client : this.server;
			Node to = forward ? this.server : this.client;
			Deque<Message> queue = forward ? this.toServer : this.toClient;
			if (!this.open || queue.isEmpty() || !to.isRunning() || !SimulatedCluster.this.canReach(from, to)) {
				return false;
			}
			Message next = queue.peek();
			if (TRACE && String.valueOf(next).contains("jobId")) {
				logEvent("  " + from.name + ">" + to.name + " " + next);
			}
			Message message = (this.duplicating && SimulatedCluster.this.random.nextInt(4) == 0) ? queue.peek()
					: queue.poll();
			to.deliver(forward ? this.serverName : this.address, message);
			return true;
		}

		void close() {
			if (!this.open) {
				return;
			}
			this.open = false;
			SimulatedCluster.this.connections.remove(this);
			closed(this.client, this.address);
			closed(this.server, this.serverName);
		}

		private void closed(Node node, String link) {
			if (node.alive) {
				node.inbox.add(() -> node.linkDown(link, false));
				node.drainInbox();
			}
		}

	}

	/** An entry that runs the real core. */
	final class EntryNode extends Node implements EntryOutbox {

		EntryCore core;

		EntryNode(String name) {
			super(name);
		}

		@Override
		void boot() {
			this.alive = true;
			this.paused = false;
			this.incarnation++;
			EntryInfo self = new EntryInfo(this.name, "i" + this.incarnation, "d", this.name, 1);
			this.core = new EntryCore(clockMillis(), self, SETTINGS, this, SimulatedCluster.this.random.nextLong());
			this.core.promoted(clockMillis(), new DocumentVersion(1, 1, DOCUMENT));
			for (EntryNode entry : entries()) {
				if (entry != this) {
					this.core.learnPeer(clockMillis(), entry.name + ":1");
				}
			}
		}

		@Override
		void linkUp(String link) {
			this.core.peerUp(clockMillis(), link);
		}

		@Override
		void deliver(String link, Message message) {
			this.core.message(clockMillis(), link, message);
		}

		@Override
		void linkDown(String link, boolean refused) {
			if (link.startsWith("in-")) {
				this.core.linkDown(clockMillis(), link);
			}
			else {
				this.core.peerDown(clockMillis(), link, refused);
			}
		}

		@Override
		void tickCore() {
			this.core.tick(clockMillis());
		}

		@Override
		public void send(String link, Message message) {
			super.send(link, message);
		}

		@Override
		public void dial(String address) {
			this.dialedAddresses.add(address);
		}

		@Override
		public void hangUp(String address) {
			this.dialedAddresses.remove(address);
		}

		@Override
		public void answer(long requestId, JobAnswer answer) {
			Request request = SimulatedCluster.this.requests.get(requestId);
			if (request != null && request.incarnation == this.incarnation) {
				recordAnswer(request, answer);
			}
		}

		@Override
		public void jobEnded(JobSummary summary) {
		}

	}

	/** An agent that runs the real core, with its simulated endpoint. */
	final class AgentNode extends Node implements AgentOutbox {

		final Map<String, LedgerTask> running = new LinkedHashMap<>();

		final int slots;

		AgentCore core;

		AgentNode(String name, int slots) {
			super(name);
			this.slots = slots;
		}

		@Override
		void boot() {
			this.alive = true;
			this.paused = false;
			this.incarnation++;
			this.running.clear();
			AgentInfo info = new AgentInfo(this.name, "i" + this.incarnation, "d", this.slots, 1000);
			this.core = new AgentCore(info,
					new AgentSettings(this.slots, 2, 60_000, 3_000, 500, 3_000, 10_000, 1 << 26), this);
			entries().forEach((e) -> this.dialedAddresses.add(e.name + ":1"));
		}

		@Override
		void linkUp(String link) {
			this.core.linkUp(clockMillis(), link);
		}

		@Override
		void deliver(String link, Message message) {
			this.core.receive(clockMillis(), link, message);
		}

		@Override
		void linkDown(String link, boolean refused) {
			this.core.linkDown(clockMillis(), link);
		}

		@Override
		void tickCore() {
			this.core.tick(clockMillis(), SimulatedCluster.this.nowMillis);
			this.core.entryAddresses().forEach(this.dialedAddresses::add);
		}

		@Override
		public void send(String link, Message message) {
			super.send(link, message);
		}

		@Override
		public void start(LedgerTask task, byte[] payload) {
			String id = task.jobId() + "#" + task.index();
			this.running.put(id, task);
			recordStart(id, task.jobId());
		}

		void endTask(LedgerTask task, ResultCode code) {
			String id = task.jobId() + "#" + task.index();
			if (this.running.remove(id) != null) {
				SimulatedCluster.this.logEvent("end " + id + " " + code);
				byte[] result = id.getBytes(StandardCharsets.UTF_8);
				byte[] padded = SimulatedCluster.this.padResults ? Arrays.copyOf(result, 1 << 20) : result;
				this.inbox.add(() -> this.core.taskEnded(clockMillis(), task.jobId(), task.index(), code, padded));
				drainInbox();
			}
		}

	}

}
