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
 * Entries, agents and endpoints around the real decision cores, with a clock and a
 * network that the test moves by hand. Checks after every start and answer that no task
 * starts twice, that answers are whole and belong to their request, and that what was
 * refused as not run was not run. Used by one thread.
 */
final class World {

	static final EnvironmentDocument DOCUMENT = new EnvironmentDocument("test",
			List.of(new Party("p", 0.5, 1000), new Party("q", 0.5, 1000)),
			List.of(new TaskClass("plain", 1, 60_000, true, 0.1), new TaskClass("once", 0, 60_000, false, 0)),
			new Limits(0, 0.34));

	private static final EntrySettings SETTINGS = new EntrySettings(60_000, 3_000, 500, 1_500, 5_000, 2_000, 1_000,
			1_000, 500, 1_500, 1_000, 1_000_000, PlacementPolicy.EXPECTED_FINISH);

	private static final boolean TRACE = Long.getLong("explorer.seed", -1) >= 0;

	final Random random;

	final Map<String, Node> nodes = new LinkedHashMap<>();

	final List<Conn> conns = new ArrayList<>();

	final Map<String, Integer> starts = new TreeMap<>();

	final Map<Long, Request> requests = new LinkedHashMap<>();

	final Map<String, Integer> attempts = new HashMap<>();

	final Map<String, Long> firstSubmitted = new HashMap<>();

	final Map<String, Integer> notRunUpTo = new HashMap<>();

	final Set<String> cuts = new LinkedHashSet<>();

	final List<String> history = new ArrayList<>();

	long now = 1_000_000;

	boolean largeResults;

	private long lastId;

	World(long seed) {
		this.random = new Random(seed);
	}

	void entry(String name) {
		EntryNode n = new EntryNode(name);
		this.nodes.put(name, n);
		n.boot();
	}

	void agent(String name, int slots) {
		AgentNode n = new AgentNode(name, slots);
		this.nodes.put(name, n);
		n.boot();
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

	static JobSpec job(String key, String taskClass, int tasks, int attempt, long ageMillis) {
		List<TaskSpec> specs = new ArrayList<>();
		for (int i = 0; i < tasks; i++) {
			specs.add(new TaskSpec(("payload-" + i).getBytes(StandardCharsets.UTF_8), 100, 0));
		}
		return new JobSpec("p", taskClass, key, attempt, ageMillis, 30_000, Stage.PRODUCTION, specs);
	}

	/** Submit the next attempt of a job, truthfully declared. */
	Request submit(String entry, String key, String taskClass, int tasks) {
		int attempt = this.attempts.merge(key, 1, Integer::sum);
		long first = this.firstSubmitted.computeIfAbsent(key, (k) -> this.now);
		return submit(entry, job(key, taskClass, tasks, attempt, this.now - first));
	}

	Request submit(String entry, JobSpec spec) {
		EntryNode e = entryNode(entry);
		this.attempts.merge(spec.key(), spec.attempt(), Math::max);
		Request r = new Request(++this.lastId, e, spec);
		this.requests.put(r.id, r);
		log("submit " + spec.id() + " attempt " + spec.attempt() + " at " + entry);
		if (e.alive) {
			e.inbox.add(() -> e.core.submit(e.clock(), r.id, spec));
			e.drainInbox();
		}
		return r;
	}

	void cancel(String entry, String key) {
		EntryNode e = entryNode(entry);
		log("cancel " + key + " at " + entry);
		if (e.alive) {
			long id = ++this.lastId;
			e.inbox.add(() -> e.core.cancel(e.clock(), id, "p/" + key));
			e.drainInbox();
		}
	}

	void log(String event) {
		this.history.add(this.now + " " + event);
	}

	/** Let time pass, delivering everything that can be delivered, with ticks. */
	void run(long millis) {
		long end = this.now + millis;
		while (this.now < end) {
			settle();
			this.now += Math.min(50, end - this.now);
			this.nodes.values().forEach(Node::tick);
		}
		settle();
	}

	/** Deliver until nothing moves. */
	void settle() {
		boolean moved = true;
		while (moved) {
			moved = false;
			for (Conn c : List.copyOf(this.conns)) {
				while (c.deliver(true) || c.deliver(false)) {
					moved = true;
				}
			}
		}
	}

	/** Let every endpoint end all it runs, and carry the results. */
	void finishAll() {
		for (AgentNode a : agents()) {
			List.copyOf(a.running.values()).forEach((t) -> a.end(t, ResultCode.COMPLETE));
		}
		settle();
	}

	void cut(String from, String to) {
		this.cuts.add(from + ">" + to);
		log("cut " + from + " > " + to);
	}

	void heal() {
		this.cuts.clear();
		log("heal");
	}

	private boolean reaches(Node from, Node to) {
		return !this.cuts.contains(from.name + ">" + to.name);
	}

	int startsOf(String key) {
		return this.starts.entrySet()
			.stream()
			.filter((e) -> e.getKey().startsWith("p/" + key + "#"))
			.mapToInt(Map.Entry::getValue)
			.sum();
	}

	private void started(String task, String jobId) {
		int n = this.starts.merge(task, 1, Integer::sum);
		log("start " + task);
		check(n == 1, task + " was started " + n + " times");
		String key = jobId.substring(2);
		int refused = this.notRunUpTo.getOrDefault(key, 0);
		check(refused == 0 || this.attempts.get(key) > refused,
				task + " was started after attempt " + refused + " was answered as not run");
	}

	private void answered(Request r, JobAnswer a) {
		check(r.answer == null, "request " + r.id + " was answered twice");
		r.answer = a;
		log("answer " + r.spec.id() + " attempt " + r.spec.attempt() + " " + a.resultCode());
		check(a.jobId().equals(r.spec.id()), "request for " + r.spec.id() + " got the answer of " + a.jobId());
		if (a.resultCode() == ResultCode.COMPLETE) {
			check(a.results().size() == r.spec.tasks().size(), "a complete answer is not whole");
			for (int i = 0; i < a.results().size(); i++) {
				String want = r.spec.id() + "#" + i;
				check(want.equals(new String(a.results().get(i), StandardCharsets.UTF_8).trim()),
						"result of another task");
				check(this.starts.getOrDefault(want, 0) == 1, want + " is answered and was not started");
			}
		}
		boolean keyReused = a.resultCode() == ResultCode.KEY_REUSED;
		if (a.resultCode().family() == CodeFamily.NOT_RUN && !keyReused) {
			check(startsOf(r.spec.key()) == 0, r.spec.id() + " was answered as not run and had been started");
			this.notRunUpTo.merge(r.spec.key(), r.spec.attempt(), Math::max);
		}
	}

	void check(boolean holds, String fault) {
		if (!holds) {
			throw new AssertionError(fault + "\n" + String.join("\n", this.history));
		}
	}

	String describe() {
		StringBuilder b = new StringBuilder();
		for (EntryNode e : entries()) {
			b.append("\n").append(e.name).append(' ').append(e.core.peers());
			e.core.agents().forEach((a) -> b.append("\n  ").append(a));
		}
		return b.toString();
	}

	/** A caller's request. */
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

	/** A process. */
	abstract class Node {

		final String name;

		final long clockOffset = World.this.random.nextInt(1_000_000);

		final Deque<Runnable> inbox = new ArrayDeque<>();

		final Set<String> dials = new LinkedHashSet<>();

		boolean alive;

		boolean paused;

		int incarnation;

		Node(String name) {
			this.name = name;
		}

		abstract void boot();

		abstract void up(String link);

		abstract void message(String link, Message m);

		abstract void down(String link, boolean refused);

		abstract void work();

		long clock() {
			return World.this.now + this.clockOffset;
		}

		boolean runs() {
			return this.alive && !this.paused;
		}

		void crash() {
			World.this.log("crash " + this.name);
			this.alive = false;
			this.paused = false;
			this.inbox.clear();
			this.dials.clear();
			List.copyOf(World.this.conns).stream().filter((c) -> c.has(this)).forEach(Conn::close);
		}

		void restart() {
			if (this.alive) {
				crash();
			}
			World.this.log("restart " + this.name);
			boot();
		}

		void pause() {
			World.this.log("pause " + this.name);
			this.paused = true;
		}

		void thaw() {
			World.this.log("thaw " + this.name);
			this.paused = false;
			drainInbox();
		}

		void drainInbox() {
			while (runs() && !this.inbox.isEmpty()) {
				this.inbox.poll().run();
			}
		}

		void tick() {
			if (runs()) {
				connect();
				work();
			}
		}

		void connect() {
			for (String address : List.copyOf(this.dials)) {
				boolean open = World.this.conns.stream()
					.anyMatch((c) -> c.client == this && c.address.equals(address) && c.open);
				Node target = World.this.nodes.get(address.split(":")[0]);
				if (open || target == null || !World.this.reaches(this, target) || !World.this.reaches(target, this)) {
					continue;
				}
				if (target.alive) {
					Conn c = new Conn(this, target, address);
					World.this.conns.add(c);
					up(address);
				}
				else {
					down(address, true);
				}
			}
		}

		void send(String link, Message m) {
			for (Conn c : World.this.conns) {
				if (c.open && c.client == this && c.address.equals(link)) {
					c.toServer.add(m);
				}
				else if (c.open && c.server == this && c.serverName.equals(link)) {
					c.toClient.add(m);
				}
			}
		}

	}

	/** A TCP connection: ordered both ways until it is closed. */
	final class Conn {

		final Node client;

		final Node server;

		final String address;

		final String serverName = "in-" + (++World.this.lastId);

		final Deque<Message> toServer = new ArrayDeque<>();

		final Deque<Message> toClient = new ArrayDeque<>();

		boolean open = true;

		boolean duplicating;

		Conn(Node client, Node server, String address) {
			this.client = client;
			this.server = server;
			this.address = address;
		}

		boolean has(Node n) {
			return this.client == n || this.server == n;
		}

		boolean deliver(boolean forward) {
			Node from = forward ? this.client : this.server;
			Node to = forward ? this.server : this.client;
			Deque<Message> q = forward ? this.toServer : this.toClient;
			if (!this.open || q.isEmpty() || !to.runs() || !World.this.reaches(from, to)) {
				return false;
			}
			Message x = q.peek();
			if (TRACE && String.valueOf(x).contains("jobId")) {
				log("  " + from.name + ">" + to.name + " " + x);
			}
			Message m = (this.duplicating && World.this.random.nextInt(4) == 0) ? q.peek() : q.poll();
			to.message(forward ? this.serverName : this.address, m);
			return true;
		}

		void close() {
			if (!this.open) {
				return;
			}
			this.open = false;
			World.this.conns.remove(this);
			closed(this.client, this.address);
			closed(this.server, this.serverName);
		}

		private void closed(Node n, String link) {
			if (n.alive) {
				n.inbox.add(() -> n.down(link, false));
				n.drainInbox();
			}
		}

	}

	/** An entry around its real core. */
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
			this.core = new EntryCore(clock(), self, SETTINGS, this, World.this.random.nextLong());
			this.core.promoted(clock(), new DocumentVersion(1, 1, DOCUMENT));
			for (EntryNode e : entries()) {
				if (e != this) {
					this.core.learnPeer(clock(), e.name + ":1");
				}
			}
		}

		@Override
		void up(String link) {
			this.core.peerUp(clock(), link);
		}

		@Override
		void message(String link, Message m) {
			this.core.message(clock(), link, m);
		}

		@Override
		void down(String link, boolean refused) {
			if (link.startsWith("in-")) {
				this.core.linkDown(clock(), link);
			}
			else {
				this.core.peerDown(clock(), link, refused);
			}
		}

		@Override
		void work() {
			this.core.tick(clock());
		}

		@Override
		public void send(String link, Message m) {
			super.send(link, m);
		}

		@Override
		public void dial(String address) {
			this.dials.add(address);
		}

		@Override
		public void hangUp(String address) {
			this.dials.remove(address);
		}

		@Override
		public void answer(long requestId, JobAnswer a) {
			Request r = World.this.requests.get(requestId);
			if (r != null && r.incarnation == this.incarnation) {
				answered(r, a);
			}
		}

		@Override
		public void jobEnded(JobSummary e) {
		}

	}

	/** An agent around its real core, with its endpoint. */
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
			entries().forEach((e) -> this.dials.add(e.name + ":1"));
		}

		@Override
		void up(String link) {
			this.core.linkUp(clock(), link);
		}

		@Override
		void message(String link, Message m) {
			this.core.receive(clock(), link, m);
		}

		@Override
		void down(String link, boolean refused) {
			this.core.linkDown(clock(), link);
		}

		@Override
		void work() {
			this.core.tick(clock(), World.this.now);
			this.core.entryAddresses().forEach(this.dials::add);
		}

		@Override
		public void send(String link, Message m) {
			super.send(link, m);
		}

		@Override
		public void start(LedgerTask task, byte[] payload) {
			String id = task.jobId() + "#" + task.index();
			this.running.put(id, task);
			started(id, task.jobId());
		}

		void end(LedgerTask t, ResultCode code) {
			String id = t.jobId() + "#" + t.index();
			if (this.running.remove(id) != null) {
				World.this.log("end " + id + " " + code);
				byte[] result = id.getBytes(StandardCharsets.UTF_8);
				byte[] padded = World.this.largeResults ? Arrays.copyOf(result, 1 << 20) : result;
				this.inbox.add(() -> this.core.taskEnded(clock(), t.jobId(), t.index(), code, padded));
				drainInbox();
			}
		}

	}

}
