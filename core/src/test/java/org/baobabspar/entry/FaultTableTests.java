package org.baobabspar.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.baobabspar.model.CodeFamily;
import org.baobabspar.model.JobSpec;
import org.baobabspar.model.ResultCode;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Injects every fault, alone and in pairs, at every stage of a job.
 * {@link SimulatedCluster} checks at each step that no task starts twice and that a job
 * answered as not run was not run.
 */
public class FaultTableTests {

	/** The stage of the job when the fault occurs. */
	enum JobStage {

		/** The job waits because no slot is free. */
		QUEUED {

			@Override
			void bringAbout(SimulatedCluster cluster) {
				cluster.submit("e1", "filler", "plain", 4);
				cluster.deliverAll();
				cluster.submit("e1", "job", "plain", 2);
			}

		},

		/** The dispatches of the job are in flight. */
		DISPATCHED {

			@Override
			void bringAbout(SimulatedCluster cluster) {
				cluster.submit("e1", "job", "plain", 2);
			}

		},

		/** The tasks of the job are running. */
		RUNNING {

			@Override
			void bringAbout(SimulatedCluster cluster) {
				cluster.submit("e1", "job", "plain", 2);
				cluster.deliverAll();
			}

		},

		/** The tasks of the job have ended and their results are in flight. */
		RESULTS_IN_FLIGHT {

			@Override
			void bringAbout(SimulatedCluster cluster) {
				RUNNING.bringAbout(cluster);
				cluster.agents()
					.forEach((a) -> List.copyOf(a.running.values()).forEach((t) -> a.endTask(t, ResultCode.COMPLETE)));
			}

		};

		abstract void bringAbout(SimulatedCluster cluster);

	}

	/** A fault and how it is undone. */
	enum Fault {

		ENTRY_CRASHED((cluster) -> cluster.entryNode("e1").crash(), (cluster) -> cluster.entryNode("e1").restart()),

		ENTRY_PAUSED((cluster) -> cluster.entryNode("e1").pause(), (cluster) -> cluster.entryNode("e1").resume()),

		AGENT_CRASHED((cluster) -> cluster.agentNode("a1").crash(), (cluster) -> cluster.agentNode("a1").restart()),

		AGENT_PAUSED((cluster) -> cluster.agentNode("a1").pause(), (cluster) -> cluster.agentNode("a1").resume()),

		AGENT_REPLACED((cluster) -> {
			cluster.agentNode("a1").crash();
			cluster.agentNode("a1").restart();
		}, (cluster) -> {
		}),

		ENTRY_REPLACED((cluster) -> {
			cluster.entryNode("e1").crash();
			cluster.entryNode("e1").restart();
		}, (cluster) -> {
		}),

		LINKS_CLOSED((cluster) -> List.copyOf(cluster.connections).forEach(SimulatedCluster.Connection::close),
				(cluster) -> {
				}),

		FRAMES_DUPLICATED((cluster) -> cluster.connections.forEach((c) -> c.duplicating = true),
				(cluster) -> cluster.connections.forEach((c) -> c.duplicating = false)),

		FIRST_TO_SECOND_ENTRY_BLOCKED((cluster) -> cluster.blockTraffic("e1", "e2"), SimulatedCluster::unblockTraffic),

		SECOND_TO_FIRST_ENTRY_BLOCKED((cluster) -> cluster.blockTraffic("e2", "e1"), SimulatedCluster::unblockTraffic),

		AGENT_TO_ENTRY_BLOCKED((cluster) -> cluster.blockTraffic("a1", "e1"), SimulatedCluster::unblockTraffic),

		ENTRY_TO_AGENT_BLOCKED((cluster) -> cluster.blockTraffic("e1", "a1"), SimulatedCluster::unblockTraffic),

		JOB_CANCELLED((cluster) -> cluster.cancel("e1", "job"), (cluster) -> {
		}),

		CLOCK_JUMPS((cluster) -> cluster.nowMillis += 10_000, (cluster) -> {
		}),

		AGENT_DRAINED((cluster) -> cluster.agentNode("a1").core.drain(cluster.agentNode("a1").clockMillis()),
				(cluster) -> {
					cluster.agentNode("a1").crash();
					cluster.agentNode("a1").restart();
				});

		private final Consumer<SimulatedCluster> inject;

		private final Consumer<SimulatedCluster> undo;

		Fault(Consumer<SimulatedCluster> begin, Consumer<SimulatedCluster> end) {
			this.inject = begin;
			this.undo = end;
		}

	}

	@DataProvider
	public Object[][] singleFaults() {
		List<Object[]> rows = new ArrayList<>();
		for (JobStage stage : JobStage.values()) {
			for (Fault fault : Fault.values()) {
				rows.add(new Object[] { stage, fault });
			}
		}
		return rows.toArray(Object[][]::new);
	}

	@DataProvider
	public Object[][] faultPairs() {
		List<Object[]> rows = new ArrayList<>();
		for (JobStage stage : JobStage.values()) {
			for (Fault fault : Fault.values()) {
				for (Fault secondFault : Fault.values()) {
					rows.add(new Object[] { stage, fault, secondFault });
				}
			}
		}
		return rows.toArray(Object[][]::new);
	}

	@Test(dataProvider = "singleFaults")
	void singleFaultWithResubmissionElsewhere(JobStage stage, Fault fault) {
		runScenario(stage, List.of(fault), true);
	}

	@Test(dataProvider = "singleFaults")
	void singleFaultWithoutResubmission(JobStage stage, Fault fault) {
		runScenario(stage, List.of(fault), false);
	}

	@Test(dataProvider = "faultPairs")
	void faultPairWithResubmissionElsewhere(JobStage stage, Fault fault, Fault secondFault) {
		runScenario(stage, List.of(fault, secondFault), true);
	}

	private void runScenario(JobStage stage, List<Fault> faults, boolean resubmit) {
		SimulatedCluster cluster = createCluster(faults.hashCode() + stage.ordinal());
		stage.bringAbout(cluster);
		faults.forEach((f) -> f.inject.accept(cluster));
		cluster.advance(700);
		if (resubmit) {
			cluster.submit("e2", "job", "plain", 2);
			cluster.submit("e1", "job", "plain", 2);
		}
		cluster.advance(300);
		cluster.completeRunningTasks();
		cluster.advance(4_000);
		faults.forEach((f) -> f.undo.accept(cluster));
		for (int i = 0; i < 36; i++) {
			cluster.completeRunningTasks();
			cluster.advance(1_000);
		}
		verifyEveryCallerIsAnswered(cluster);
		verifyServiceIsRestored(cluster);
	}

	private static SimulatedCluster createCluster(long seed) {
		SimulatedCluster cluster = new SimulatedCluster(seed);
		cluster.addEntry("e1");
		cluster.addEntry("e2");
		cluster.addAgent("a1", 2);
		cluster.addAgent("a2", 2);
		cluster.advance(2_000);
		return cluster;
	}

	private static void verifyEveryCallerIsAnswered(SimulatedCluster cluster) {
		for (SimulatedCluster.Request request : cluster.requests.values()) {
			boolean callerLost = !request.entry.alive || request.entry.incarnation != request.incarnation;
			cluster.verify(callerLost || request.answer != null,
					request.spec.id() + " attempt " + request.spec.attempt() + " was never answered");
		}
	}

	private static void verifyServiceIsRestored(SimulatedCluster cluster) {
		SimulatedCluster.Request request = cluster.submit("e1", "after", "plain", 3);
		for (int i = 0; i < 5; i++) {
			cluster.advance(300);
			cluster.completeRunningTasks();
		}
		cluster.verify(request.code() == ResultCode.COMPLETE,
				"the cluster does not complete jobs after the faults were removed: " + request.code()
						+ cluster.describe());
	}

	/** Resubmissions, mostly without machine faults. */
	public static class Resubmission {

		@DataProvider
		public Object[][] entries() {
			return new Object[][] { { "e1", "e1" }, { "e1", "e2" }, { "e2", "e1" } };
		}

		@Test(dataProvider = "entries")
		void resubmissionJoinsRunningJob(String firstEntry, String secondEntry) {
			SimulatedCluster cluster = createCluster(1);
			SimulatedCluster.Request first = cluster.submit(firstEntry, "job", "plain", 2);
			cluster.deliverAll();
			SimulatedCluster.Request second = cluster.submit(secondEntry, "job", "plain", 2);
			cluster.deliverAll();
			cluster.completeRunningTasks();
			Assert.assertEquals(first.code(), ResultCode.COMPLETE);
			Assert.assertEquals(second.code(), ResultCode.COMPLETE);
			Assert.assertEquals(cluster.startsOf("job"), 2);
		}

		@Test(dataProvider = "entries")
		void resubmissionOfEndedJobGetsStoredAnswer(String firstEntry, String secondEntry) {
			SimulatedCluster cluster = createCluster(1);
			cluster.submit(firstEntry, "job", "plain", 2);
			cluster.deliverAll();
			cluster.completeRunningTasks();
			cluster.advance(1_000);
			SimulatedCluster.Request second = cluster.submit(secondEntry, "job", "plain", 2);
			cluster.deliverAll();
			Assert.assertEquals(second.code(), ResultCode.COMPLETE);
			Assert.assertEquals(cluster.startsOf("job"), 2);
		}

		@Test(dataProvider = "entries")
		void reusedKeyWithDifferentBodyIsRefused(String firstEntry, String secondEntry) {
			SimulatedCluster cluster = createCluster(1);
			cluster.submit(firstEntry, "job", "plain", 2);
			cluster.deliverAll();
			SimulatedCluster.Request second = cluster.submit(secondEntry, "job", "plain", 3);
			cluster.deliverAll();
			Assert.assertEquals(second.code(), ResultCode.KEY_REUSED);
		}

		@Test(dataProvider = "entries")
		void twoFirstAttemptsOfOneKeyRunOnce(String firstEntry, String secondEntry) {
			SimulatedCluster cluster = createCluster(1);
			JobSpec spec = SimulatedCluster.jobSpec("job", "once", 2, 1, 0);
			SimulatedCluster.Request first = cluster.submit(firstEntry, spec);
			SimulatedCluster.Request second = cluster.submit(secondEntry, spec);
			cluster.deliverAll();
			cluster.completeRunningTasks();
			Assert.assertEquals(first.code(), ResultCode.COMPLETE);
			Assert.assertEquals(second.code(), ResultCode.COMPLETE);
			Assert.assertEquals(cluster.startsOf("job"), 2);
		}

		@Test
		void undeclaredAttemptIsTreatedAsResubmission() {
			SimulatedCluster cluster = createCluster(1);
			SimulatedCluster.Request first = cluster.submit("e1", SimulatedCluster.jobSpec("job", "plain", 1, 0, -1));
			cluster.advance(500);
			Assert.assertEquals(first.code().family(), CodeFamily.UNKNOWN);
			Assert.assertEquals(cluster.startsOf("job"), 0);
		}

		@Test
		void requestDelayedBeyondTheWindowByAPauseIsNotStarted() {
			SimulatedCluster cluster = createCluster(1);
			cluster.entryNode("e1").pause();
			SimulatedCluster.Request stale = cluster.submit("e1", "job", "plain", 2);
			cluster.advance(500);
			cluster.submit("e2", "job", "plain", 2);
			cluster.advance(4_000);
			cluster.completeRunningTasks();
			cluster.advance(70_000);
			cluster.entryNode("e1").resume();
			cluster.advance(2_000);
			Assert.assertEquals(stale.code().family(), CodeFamily.UNKNOWN);
			Assert.assertEquals(cluster.startsOf("job"), 2);
		}

		@Test
		void jobOfPartitionedEntryIsNotPlacedOnRestartedAgent() {
			SimulatedCluster cluster = new SimulatedCluster(1);
			cluster.addEntry("e1");
			cluster.addEntry("e2");
			cluster.addAgent("a1", 1);
			cluster.advance(2_000);
			cluster.submit("e1", "filler", "plain", 1);
			cluster.deliverAll();
			cluster.submit("e1", "job", "plain", 1);
			for (String other : List.of("e2", "a1")) {
				cluster.blockTraffic("e1", other);
				cluster.blockTraffic(other, "e1");
			}
			cluster.advance(4_000);
			SimulatedCluster.Request second = cluster.submit("e2", "job", "plain", 1);
			cluster.advance(4_000);
			cluster.completeRunningTasks();
			cluster.completeRunningTasks();
			Assert.assertEquals(second.code(), ResultCode.COMPLETE);
			cluster.agentNode("a1").crash();
			cluster.agentNode("a1").restart();
			cluster.unblockTraffic();
			cluster.advance(5_000);
			Assert.assertEquals(cluster.startsOf("job"), 1);
		}

		@Test
		void jobSurvivesCrashOfItsEntry() {
			SimulatedCluster cluster = createCluster(1);
			cluster.submit("e1", "job", "once", 2);
			cluster.deliverAll();
			cluster.entryNode("e1").crash();
			cluster.advance(500);
			SimulatedCluster.Request second = cluster.submit("e2", "job", "once", 2);
			cluster.advance(200);
			cluster.completeRunningTasks();
			Assert.assertEquals(second.code(), ResultCode.COMPLETE);
			Assert.assertEquals(cluster.startsOf("job"), 2);
		}

	}

	/** Answers that an entry has evicted to bound its memory. */
	public static class AnswerRetention {

		@Test
		void evictedAnswerIsRecoveredFromAgents() {
			SimulatedCluster cluster = createCluster(1);
			cluster.submit("e1", "first", "plain", 2);
			cluster.deliverAll();
			cluster.completeRunningTasks();
			cluster.padResults = true;
			for (int i = 0; i < 20; i++) {
				cluster.submit("e1", "large-" + i, "plain", 1);
				cluster.deliverAll();
				cluster.completeRunningTasks();
			}
			cluster.padResults = false;
			SimulatedCluster.Request again = cluster.submit("e1", "first", "plain", 2);
			cluster.advance(500);
			Assert.assertEquals(again.code(), ResultCode.COMPLETE);
			Assert.assertEquals(cluster.startsOf("first"), 2);
		}

	}

	/** Draining of agents and entries. */
	public static class Draining {

		@Test
		void drainingAgentCompletesItsTasksAndGetsNoNewOnes() {
			SimulatedCluster cluster = createCluster(1);
			SimulatedCluster.Request request = cluster.submit("e1", "job", "plain", 4);
			cluster.deliverAll();
			SimulatedCluster.AgentNode agent = cluster.agentNode("a1");
			Set<String> had = Set.copyOf(agent.running.keySet());
			Assert.assertFalse(had.isEmpty());
			agent.core.drain(agent.clockMillis());
			cluster.advance(100);
			cluster.submit("e2", "late", "plain", 4);
			cluster.advance(1_000);
			Assert.assertEquals(agent.running.keySet(), had);
			Assert.assertFalse(agent.core.canExit(agent.clockMillis()));
			cluster.completeRunningTasks();
			cluster.advance(500);
			Assert.assertEquals(request.code(), ResultCode.COMPLETE);
			Assert.assertTrue(agent.core.canExit(agent.clockMillis()));
		}

		@Test
		void drainingEntryCompletesItsJobsAndRefusesNewOnes() {
			SimulatedCluster cluster = createCluster(1);
			SimulatedCluster.Request request = cluster.submit("e1", "job", "plain", 2);
			cluster.deliverAll();
			SimulatedCluster.EntryNode entry = cluster.entryNode("e1");
			entry.core.drain(entry.clockMillis());
			Assert.assertFalse(entry.core.drained(entry.clockMillis()));
			Assert.assertEquals(cluster.submit("e1", "new", "plain", 1).code(), ResultCode.ENTRY_DRAINING);
			cluster.completeRunningTasks();
			Assert.assertEquals(request.code(), ResultCode.COMPLETE);
			Assert.assertTrue(entry.core.drained(entry.clockMillis()));
		}

	}

}
