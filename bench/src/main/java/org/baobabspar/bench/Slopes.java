package org.baobabspar.bench;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntToDoubleFunction;

import com.sun.management.ThreadMXBean;
import org.baobabspar.agent.AgentCore;
import org.baobabspar.agent.AgentOutbox;
import org.baobabspar.agent.AgentSettings;
import org.baobabspar.agent.LedgerTask;
import org.baobabspar.document.DocumentFormat;
import org.baobabspar.document.DocumentVersion;
import org.baobabspar.document.EnvironmentDocument;
import org.baobabspar.document.Limits;
import org.baobabspar.document.Party;
import org.baobabspar.document.TaskClass;
import org.baobabspar.entry.EntryCore;
import org.baobabspar.entry.EntryOutbox;
import org.baobabspar.entry.EntrySettings;
import org.baobabspar.entry.JobSummary;
import org.baobabspar.message.AgentHeartbeat;
import org.baobabspar.message.AgentHello;
import org.baobabspar.message.AgentInfo;
import org.baobabspar.message.AgentState;
import org.baobabspar.message.Dispatch;
import org.baobabspar.message.EntryHello;
import org.baobabspar.message.EntryInfo;
import org.baobabspar.message.Fence;
import org.baobabspar.message.FenceReply;
import org.baobabspar.message.Message;
import org.baobabspar.message.TaskEnded;
import org.baobabspar.model.Claim;
import org.baobabspar.model.JobAnswer;
import org.baobabspar.model.JobSpec;
import org.baobabspar.model.ResultCode;
import org.baobabspar.model.Stage;
import org.baobabspar.model.TaskOutcome;
import org.baobabspar.model.TaskSpec;
import org.baobabspar.model.TaskStatus;
import org.baobabspar.wire.FrameCodec;

/**
 * Measures what a unit of each kind costs the decision cores and the codec, at several
 * sizes, and fits a line. Processor time and allocation are read for the measuring thread
 * alone. Used by one thread.
 */
final class Slopes {

	private static final int[] AGENT_COUNTS = { 10, 50, 100, 200, 300 };

	private static final int ROUNDS = 3;

	private static final int TASKS = 6_000;

	private static final long IDLE_MILLIS = 6_000;

	private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

	private final List<String> lines = new ArrayList<>(List.of("measure,unit,intercept,slope,spread,points"));

	/**
	 * Measure everything.
	 * @return a CSV table
	 */
	List<String> run() {
		fit("entry cpu a task over agents connected", "us", AGENT_COUNTS, (n) -> perTask(n, true));
		fit("entry allocation a task over agents connected", "bytes", AGENT_COUNTS, (n) -> perTask(n, false));
		fit("entry cpu a second over agents connected and idle", "us/s", AGENT_COUNTS, Slopes::idleEntry);
		fit("entry cpu of a heartbeat round over agents", "us", AGENT_COUNTS, Slopes::heartbeatRound);
		fit("entry cpu of a fenced resubmission over agents", "us", AGENT_COUNTS, Slopes::resubmission);
		fit("entry cpu of losing a failure domain over its agents", "us", AGENT_COUNTS, Slopes::domainLoss);
		fit("entry memory over waiting tasks", "bytes", new int[] { 1000, 5000, 10000, 20000 }, Slopes::queueMemory);
		fit("entry memory over ended jobs held", "bytes", new int[] { 1000, 5000, 10000, 20000 }, Slopes::jobMemory);
		fit("agent cpu over tasks", "us", new int[] { 2000, 4000, 8000, 16000 }, Slopes::agentCpu);
		fit("agent memory over ledger entries", "bytes", new int[] { 2000, 4000, 8000, 16000 }, Slopes::agentMemory);
		fit("document cpu over parties", "us", new int[] { 10, 50, 100, 150 }, Slopes::documentCpu);
		fit("document bytes over parties", "bytes", new int[] { 10, 50, 100, 150 },
				(n) -> DocumentFormat.write(document(n)).length());
		fit("codec cpu over frames (dispatch and result, there and back)", "us",
				new int[] { 5000, 10000, 20000, 40000 }, Slopes::codecCpu);
		frames();
		idleLinks();
		return this.lines;
	}

	private void fit(String measure, String unit, int[] sizes, IntToDoubleFunction cost) {
		System.err.println("  " + measure);
		cost.applyAsDouble(sizes[0]);
		double[] best = new double[sizes.length];
		double spread = 0;
		for (int i = 0; i < sizes.length; i++) {
			double low = Double.MAX_VALUE;
			double high = 0;
			for (int r = 0; r < ROUNDS; r++) {
				double c = cost.applyAsDouble(sizes[i]);
				low = Math.min(low, c);
				high = Math.max(high, c);
			}
			best[i] = low;
			spread = Math.max(spread, (high - low) / Math.max(1e-9, low));
		}
		double[] line = line(sizes, best);
		StringBuilder points = new StringBuilder();
		for (int i = 0; i < sizes.length; i++) {
			points.append((i > 0) ? " " : "").append(sizes[i]).append(':').append(String.format("%.1f", best[i]));
		}
		this.lines
			.add(String.format("%s,%s,%.2f,%.5f,%.0f%%,%s", measure, unit, line[0], line[1], 100 * spread, points));
	}

	private static double[] line(int[] x, double[] y) {
		double mx = 0;
		double my = 0;
		for (int i = 0; i < x.length; i++) {
			mx += x[i] / (double) x.length;
			my += y[i] / x.length;
		}
		double num = 0;
		double den = 0;
		for (int i = 0; i < x.length; i++) {
			num += (x[i] - mx) * (y[i] - my);
			den += (x[i] - mx) * (x[i] - mx);
		}
		double slope = num / den;
		return new double[] { my - slope * mx, slope };
	}

	private static double cpuMicros(Runnable work) {
		long before = THREADS.getCurrentThreadCpuTime();
		work.run();
		return (THREADS.getCurrentThreadCpuTime() - before) / 1e3;
	}

	private static double allocated(Runnable work) {
		long before = THREADS.getCurrentThreadAllocatedBytes();
		work.run();
		return THREADS.getCurrentThreadAllocatedBytes() - before;
	}

	private static double retained(Runnable work) {
		long before = used();
		work.run();
		return used() - before;
	}

	private static long used() {
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

	private static void require(boolean holds, String what) {
		if (!holds) {
			throw new IllegalStateException("not so: " + what);
		}
	}

	private static EnvironmentDocument document(int parties) {
		List<Party> p = new ArrayList<>();
		for (int i = 0; i < parties; i++) {
			p.add(new Party("party-" + i, 1.0 / parties, 1_000_000));
		}
		return new EnvironmentDocument("bench", p, List.of(new TaskClass("c", 0, 600_000, true, 0)), Limits.DEFAULTS);
	}

	private static JobSpec job(int id, int attempt, int tasks) {
		List<TaskSpec> list = new ArrayList<>();
		for (int i = 0; i < tasks; i++) {
			list.add(new TaskSpec(new byte[100], 100, 0));
		}
		return new JobSpec("party-0", "c", "k" + id, attempt, (attempt - 1) * 60_000L, 600_000, Stage.PRODUCTION, list);
	}

	private static double perTask(int agents, boolean cpu) {
		Entry e = new Entry(agents);
		Runnable work = () -> {
			for (int i = 0; i < TASKS / 10; i++) {
				e.core.submit(e.now, i, job(e.nextJob++, 1, 10));
				e.endAll();
			}
		};
		work.run();
		return (cpu ? cpuMicros(work) : allocated(work)) / TASKS;
	}

	private static double idleEntry(int agents) {
		Entry e = new Entry(agents);
		return cpuMicros(() -> {
			for (int i = 0; i < 200; i++) {
				e.now += 50;
				e.core.tick(e.now);
				if (i % 20 == 0) {
					e.beat();
				}
			}
		}) / 10;
	}

	private static double heartbeatRound(int agents) {
		Entry e = new Entry(agents);
		return cpuMicros(() -> {
			for (int i = 0; i < 50; i++) {
				e.beat();
			}
		}) / 50;
	}

	private static double resubmission(int agents) {
		Entry e = new Entry(agents);
		e.answersFences = true;
		return cpuMicros(() -> {
			for (int i = 0; i < 50; i++) {
				e.core.submit(e.now, i, job(i, 2, 1));
				e.answerFences();
				e.endAll();
			}
		}) / 50;
	}

	private static double domainLoss(int agents) {
		Entry e = new Entry(agents);
		for (int i = 0; i < agents; i++) {
			e.core.submit(e.now, i, job(i, 1, 4));
		}
		return cpuMicros(() -> {
			for (int i = 0; i < agents; i++) {
				e.core.linkDown(e.now, "in-" + i);
			}
			e.now += 6_000;
			e.core.tick(e.now);
		});
	}

	private static double queueMemory(int tasks) {
		Entry[] e = { new Entry(1) };
		double r = retained(() -> {
			for (int i = 0; i < tasks / 10; i++) {
				e[0].core.submit(e[0].now, i, job(i, 1, 10));
			}
		});
		require(e[0].core.waitingTasks() > tasks / 2, "tasks wait");
		return r;
	}

	private static double jobMemory(int jobs) {
		Entry[] e = { new Entry(10) };
		double r = retained(() -> {
			for (int i = 0; i < jobs; i++) {
				e[0].core.submit(e[0].now, i, job(i, 1, 1));
				e[0].endAll();
			}
		});
		require(e[0].core.heldJobs() == jobs, "jobs are held");
		return r;
	}

	private static double agentCpu(int tasks) {
		Agent a = new Agent();
		return cpuMicros(() -> a.run(tasks));
	}

	private static double agentMemory(int tasks) {
		Agent[] a = { new Agent() };
		double r = retained(() -> a[0].run(tasks));
		require(a[0].core.ledgerStarts() == tasks, "starts are held");
		return r;
	}

	private static double documentCpu(int parties) {
		Entry e = new Entry(1);
		EnvironmentDocument d = document(parties);
		return cpuMicros(() -> {
			for (int i = 0; i < 50; i++) {
				e.core.promoted(e.now,
						new DocumentVersion(100 + i, 100 + i, DocumentFormat.parse(DocumentFormat.write(d))));
			}
		}) / 50;
	}

	private static final Dispatch DISPATCH = new Dispatch("party-0/key-123456", new Claim(1, 1L << 60, 0), 3, 99,
			99_000, 5, "party-0", "normal", 7, 1L << 61, new byte[100]);

	private static final TaskEnded ENDED = new TaskEnded("party-0/key-123456", 99,
			new TaskOutcome(3, TaskStatus.DONE, 0, new byte[60], 250), 99_000, 4, 0);

	private static double codecCpu(int frames) {
		FrameCodec c = new FrameCodec();
		return cpuMicros(() -> {
			for (int i = 0; i < frames; i++) {
				c.decode(c.encode(((i & 1) == 0) ? DISPATCH : ENDED));
			}
		});
	}

	private void idleLinks() {
		int[] sizes = { 4, 8, 16, 32 };
		double[][] rates = new double[4][sizes.length];
		for (int i = 0; i < sizes.length; i++) {
			System.err.println("  idle links of " + sizes[i] + " agents");
			double[] slowness = new double[sizes[i]];
			Arrays.fill(slowness, 1);
			try (Fleet f = new Fleet(2, slowness, "expected-finish")) {
				double[] r = f.idleRates(IDLE_MILLIS);
				for (int k = 0; k < r.length; k++) {
					rates[k][i] = r[k];
				}
			}
		}
		String[] names = { "bytes a second of one entry over agents (2 entries; idle)",
				"bytes a second of one agent over agents (2 entries; idle)",
				"frames a second of one entry over agents (2 entries; idle)",
				"cpu of the whole fleet in one process over agents (idle)" };
		String[] units = { "bytes/s", "bytes/s", "frames/s", "us/s" };
		for (int k = 0; k < names.length; k++) {
			double[] l = line(sizes, rates[k]);
			StringBuilder points = new StringBuilder();
			for (int i = 0; i < sizes.length; i++) {
				points.append((i > 0) ? " " : "")
					.append(sizes[i])
					.append(':')
					.append(String.format("%.1f", rates[k][i]));
			}
			this.lines.add(String.format("%s,%s,%.2f,%.5f,one run,%s", names[k], units[k], l[0], l[1], points));
		}
	}

	private void frames() {
		FrameCodec c = new FrameCodec();
		Map<String, Message> m = new LinkedHashMap<>();
		m.put("dispatch of 100 bytes", DISPATCH);
		m.put("result of 60 bytes", ENDED);
		m.put("agent heartbeat", new AgentHeartbeat(AgentState.SERVING, 99_000, 4, 0, 7, List.of()));
		m.put("fence", new Fence(9, "party-0/key-123456", new Claim(2, 1L << 60, 0), 1L << 61));
		m.forEach(
				(name, x) -> this.lines.add("frame bytes: " + name + ",bytes," + (c.encode(x).length + 4) + ",0,0%,"));
	}

	/** An entry's core whose agents answer when told to. */
	private static final class Entry implements EntryOutbox {

		private final List<Dispatch> dispatches = new ArrayList<>();

		private final List<String> dispatchLinks = new ArrayList<>();

		private final List<Fence> fences = new ArrayList<>();

		private final List<String> fenceLinks = new ArrayList<>();

		private final EntryCore core;

		private final int agents;

		private boolean answersFences;

		private int nextJob;

		private long now = 10_000_000;

		private Entry(int agents) {
			this.agents = agents;
			this.core = new EntryCore(this.now - 400_000, new EntryInfo("e", "i", "d", "127.0.0.1", 1),
					EntrySettings.defaults(), this, 7);
			this.core.promoted(this.now - 400_000, new DocumentVersion(1, 1, document(2)));
			pass(3_000);
			for (int i = 0; i < agents; i++) {
				this.core.message(this.now, "in-" + i, new AgentHello(
						new AgentInfo("agent-" + i, "i", "d" + i % 8, 8, 100), AgentState.SERVING, this.now, 8));
			}
			pass(500);
			beat();
		}

		// Short steps, since a long gap between ticks counts as a pause of the process.
		private void pass(long millis) {
			for (long t = 0; t < millis; t += 500) {
				this.now += 500;
				this.core.tick(this.now);
			}
		}

		private void beat() {
			for (int i = 0; i < this.agents; i++) {
				this.core.message(this.now, "in-" + i,
						new AgentHeartbeat(AgentState.SERVING, this.now, 8, 0, 1, List.of()));
			}
		}

		private void endAll() {
			while (!this.dispatches.isEmpty()) {
				Dispatch d = this.dispatches.remove(this.dispatches.size() - 1);
				String link = this.dispatchLinks.remove(this.dispatchLinks.size() - 1);
				this.core.message(this.now, link, new TaskEnded(d.jobId(), d.dispatchId(),
						new TaskOutcome(d.index(), TaskStatus.DONE, 0, new byte[60], 100), this.now, 8, 0));
			}
		}

		private void answerFences() {
			for (int i = 0; i < this.fences.size(); i++) {
				Fence f = this.fences.get(i);
				this.core.message(this.now, this.fenceLinks.get(i),
						new FenceReply(f.fenceId(), f.jobId(), true, false, List.of()));
			}
			this.fences.clear();
			this.fenceLinks.clear();
		}

		@Override
		public void send(String link, Message m) {
			if (m instanceof Dispatch d) {
				this.dispatches.add(d);
				this.dispatchLinks.add(link);
			}
			else if (this.answersFences && m instanceof Fence f) {
				this.fences.add(f);
				this.fenceLinks.add(link);
			}
		}

		@Override
		public void dial(String address) {
		}

		@Override
		public void hangUp(String address) {
		}

		@Override
		public void answer(long requestId, JobAnswer a) {
		}

		@Override
		public void jobEnded(JobSummary e) {
		}

	}

	/** An agent's core whose endpoint ends every task at once. */
	private static final class Agent implements AgentOutbox {

		private final AgentCore core = new AgentCore(new AgentInfo("a", "i", "d", 8, 100), AgentSettings.defaults(8),
				this);

		private LedgerTask started;

		private int done;

		private Agent() {
			this.core.linkUp(1_000, "l");
			this.core.receive(1_000, "l", new EntryHello(new EntryInfo("e", "i", "d", "127.0.0.1", 1), List.of()));
		}

		private void run(int tasks) {
			for (int i = 0; i < tasks; i++) {
				int n = this.done++;
				this.core.receive(1_000, "l", new Dispatch("party-0/k" + n / 10, new Claim(1, 5, 0), n % 10, n + 1,
						1_000, 0, "party-0", "c", 1, 7, new byte[100]));
				this.core.taskEnded(1_000, this.started.jobId(), this.started.index(), ResultCode.COMPLETE,
						new byte[60]);
			}
		}

		@Override
		public void send(String link, Message m) {
		}

		@Override
		public void start(LedgerTask task, byte[] payload) {
			this.started = task;
		}

	}

}
