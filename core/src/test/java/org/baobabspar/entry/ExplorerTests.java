package org.baobabspar.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.baobabspar.model.CodeFamily;
import org.baobabspar.model.ResultCode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs the decision cores through random histories of submissions, message deliveries,
 * crashes, pauses and network partitions, and checks the invariants of
 * {@link SimulatedCluster} at every step. Each history is determined by its seed. Set
 * {@code
 * -Dexplorer.histories=N} to run more histories and {@code -Dexplorer.seed=N} to run a
 * single one.
 */
public class ExplorerTests {

	private static final int HISTORIES = Integer.getInteger("explorer.histories", 2000);

	private static final int BATCHES = 10;

	private static final long ONE_SEED = Long.getLong("explorer.seed", -1);

	@DataProvider
	public Object[][] batches() {
		Object[][] rows = new Object[BATCHES][];
		for (int i = 0; i < BATCHES; i++) {
			rows[i] = new Object[] { i };
		}
		return rows;
	}

	@Test(dataProvider = "batches")
	void randomHistoriesKeepTheInvariants(int batch) {
		if (ONE_SEED >= 0) {
			new RandomHistory(ONE_SEED, Integer.MAX_VALUE).run();
			return;
		}
		RandomHistory.Failure shortest = null;
		for (long seed = batch; seed < HISTORIES; seed += BATCHES) {
			RandomHistory.Failure failure = new RandomHistory(seed, Integer.MAX_VALUE).runAndCatch();
			if (failure != null && (shortest == null || failure.steps() < shortest.steps())) {
				shortest = failure;
			}
		}
		if (shortest != null) {
			throw new AssertionError(
					"seed " + shortest.seed() + ", " + shortest.steps() + " steps: " + shortest.error().getMessage(),
					shortest.error());
		}
	}

	/** One random history. */
	private static final class RandomHistory {

		private static final int STEPS = 250;

		private static final String[] ENTRIES = { "e1", "e2", "e3" };

		private static final String[] AGENTS = { "a1", "a2", "a3" };

		private static final String[] KEYS = { "k1", "k2", "k3" };

		private final long seed;

		private final Random random;

		private final SimulatedCluster cluster;

		private final int entryCount;

		private final int agentCount;

		private int step;

		private RandomHistory(long seed, int bound) {
			this.seed = seed;
			this.random = new Random(seed * 31 + 7);
			this.cluster = new SimulatedCluster(seed);
			this.entryCount = 2 + this.random.nextInt(2);
			this.agentCount = 1 + this.random.nextInt(3);
		}

		private Failure runAndCatch() {
			try {
				run();
				return null;
			}
			catch (AssertionError | RuntimeException ex) {
				return new Failure(this.seed, this.step, ex);
			}
		}

		private void run() {
			for (int i = 0; i < this.entryCount; i++) {
				this.cluster.addEntry(ENTRIES[i]);
			}
			for (int i = 0; i < this.agentCount; i++) {
				this.cluster.addAgent(AGENTS[i], 1 + this.random.nextInt(2));
			}
			this.cluster.advance(2_000);
			for (this.step = 0; this.step < STEPS; this.step++) {
				randomEvent();
			}
			recoverAndVerify();
		}

		private void randomEvent() {
			int roll = this.random.nextInt(100);
			if (roll < 50) {
				deliverRandomMessage();
			}
			else if (roll < 62) {
				this.cluster.advance(1 + this.random.nextInt(200));
			}
			else if (roll < 76) {
				endRandomTask();
			}
			else if (roll < 86) {
				submitRandomJob();
			}
			else if (roll < 88) {
				this.cluster.cancel(randomEntry(), randomKey());
			}
			else {
				randomFault();
			}
		}

		private void deliverRandomMessage() {
			List<SimulatedCluster.Connection> open = new ArrayList<>(this.cluster.connections);
			if (!open.isEmpty()) {
				open.get(this.random.nextInt(open.size())).deliver(this.random.nextBoolean());
			}
		}

		private void endRandomTask() {
			SimulatedCluster.AgentNode agent = this.cluster.agentNode(randomAgent());
			if (agent.alive && !agent.running.isEmpty()) {
				boolean fails = this.random.nextInt(10) == 0;
				agent.endTask(agent.running.values().iterator().next(),
						fails ? ResultCode.TASK_FAILED : ResultCode.COMPLETE);
			}
		}

		private void submitRandomJob() {
			int keyIndex = this.random.nextInt(KEYS.length);
			this.cluster.submit(randomEntry(), KEYS[keyIndex], (keyIndex == 0) ? "once" : "plain", 1 + keyIndex);
		}

		private void randomFault() {
			SimulatedCluster.Node node = this.cluster.nodes
				.get(this.random.nextBoolean() ? randomEntry() : randomAgent());
			switch (this.random.nextInt(8)) {
				case 0 -> node.crash();
				case 1, 2 -> {
					if (!node.alive) {
						node.restart();
					}
				}
				case 3 -> node.pause();
				case 4, 5 -> node.resume();
				case 6 ->
					this.cluster.blockTraffic(node.name, this.random.nextBoolean() ? randomEntry() : randomAgent());
				default -> randomLinkFault();
			}
		}

		private void randomLinkFault() {
			if (this.random.nextInt(3) == 0) {
				this.cluster.unblockTraffic();
				return;
			}
			if (!this.cluster.connections.isEmpty()) {
				SimulatedCluster.Connection connection = this.cluster.connections
					.get(this.random.nextInt(this.cluster.connections.size()));
				if (this.random.nextBoolean()) {
					connection.duplicating = true;
				}
				else {
					connection.close();
				}
			}
		}

		// After all faults have been removed, every caller must be answered and the
		// cluster
		// must accept and complete new jobs.
		private void recoverAndVerify() {
			this.cluster.unblockTraffic();
			this.cluster.connections.forEach((c) -> c.duplicating = false);
			for (SimulatedCluster.Node node : this.cluster.nodes.values()) {
				if (!node.alive) {
					node.restart();
				}
				node.resume();
			}
			for (int i = 0; i < 40; i++) {
				this.cluster.advance(1_000);
				this.cluster.completeRunningTasks();
			}
			for (SimulatedCluster.Request request : this.cluster.requests.values()) {
				boolean callerLost = !request.entry.alive || request.entry.incarnation != request.incarnation;
				this.cluster.verify(callerLost || request.answer != null,
						"request for " + request.spec.id() + " was never answered");
			}
			SimulatedCluster.Request last = this.cluster.submit(ENTRIES[0], "after", "plain", 2);
			this.cluster.advance(500);
			this.cluster.completeRunningTasks();
			this.cluster.advance(500);
			this.cluster.completeRunningTasks();
			this.cluster.verify(last.code() != null && last.code().family() == CodeFamily.COMPLETE,
					"the cluster does not complete jobs after the faults were removed: " + last.code()
							+ this.cluster.describe());
		}

		private String randomEntry() {
			return ENTRIES[this.random.nextInt(this.entryCount)];
		}

		private String randomAgent() {
			return AGENTS[this.random.nextInt(this.agentCount)];
		}

		private String randomKey() {
			return KEYS[this.random.nextInt(KEYS.length)];
		}

		private record Failure(long seed, int steps, Throwable error) {
		}

	}

}
