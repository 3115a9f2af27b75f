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
 * Every fault against a job in every state, alone and in pairs. {@link World} checks at
 * each step that nothing starts twice and that refusals are true.
 */
public class FaultTableTests {

	/** Where the job stands when the fault comes. */
	enum Stage {

		/** No slot is free for it. */
		QUEUED {

			@Override
			void reach(World w) {
				w.submit("e1", "filler", "plain", 4);
				w.settle();
				w.submit("e1", "job", "plain", 2);
			}

		},

		/** Its dispatches are on their way. */
		DISPATCHED {

			@Override
			void reach(World w) {
				w.submit("e1", "job", "plain", 2);
			}

		},

		/** Its tasks run. */
		RUNNING {

			@Override
			void reach(World w) {
				w.submit("e1", "job", "plain", 2);
				w.settle();
			}

		},

		/** Its tasks have ended and the results are on their way. */
		UNANSWERED {

			@Override
			void reach(World w) {
				RUNNING.reach(w);
				w.agents()
					.forEach((a) -> List.copyOf(a.running.values()).forEach((t) -> a.end(t, ResultCode.COMPLETE)));
			}

		};

		abstract void reach(World w);

	}

	/** What goes wrong, and how it is put right. */
	enum Fault {

		ENTRY_KILLED((w) -> w.entryNode("e1").crash(), (w) -> w.entryNode("e1").restart()),

		ENTRY_FROZEN((w) -> w.entryNode("e1").pause(), (w) -> w.entryNode("e1").thaw()),

		AGENT_KILLED((w) -> w.agentNode("a1").crash(), (w) -> w.agentNode("a1").restart()),

		AGENT_FROZEN((w) -> w.agentNode("a1").pause(), (w) -> w.agentNode("a1").thaw()),

		AGENT_REPLACED((w) -> {
			w.agentNode("a1").crash();
			w.agentNode("a1").restart();
		}, (w) -> {
		}),

		ENTRY_REPLACED((w) -> {
			w.entryNode("e1").crash();
			w.entryNode("e1").restart();
		}, (w) -> {
		}),

		LINKS_CUT((w) -> List.copyOf(w.conns).forEach(World.Conn::close), (w) -> {
		}),

		FRAMES_DUPLICATED((w) -> w.conns.forEach((c) -> c.duplicating = true),
				(w) -> w.conns.forEach((c) -> c.duplicating = false)),

		ENTRIES_CUT_ONE_WAY((w) -> w.cut("e1", "e2"), World::heal),

		ENTRIES_CUT_OTHER_WAY((w) -> w.cut("e2", "e1"), World::heal),

		AGENT_CUT_FROM_ENTRY((w) -> w.cut("a1", "e1"), World::heal),

		ENTRY_CUT_FROM_AGENT((w) -> w.cut("e1", "a1"), World::heal),

		CANCELLED((w) -> w.cancel("e1", "job"), (w) -> {
		}),

		CLOCK_JUMPS((w) -> w.now += 10_000, (w) -> {
		}),

		DRAINED((w) -> w.agentNode("a1").core.drain(w.agentNode("a1").clock()), (w) -> {
			w.agentNode("a1").crash();
			w.agentNode("a1").restart();
		});

		private final Consumer<World> begin;

		private final Consumer<World> end;

		Fault(Consumer<World> begin, Consumer<World> end) {
			this.begin = begin;
			this.end = end;
		}

	}

	@DataProvider
	public Object[][] single() {
		List<Object[]> r = new ArrayList<>();
		for (Stage s : Stage.values()) {
			for (Fault f : Fault.values()) {
				r.add(new Object[] { s, f });
			}
		}
		return r.toArray(Object[][]::new);
	}

	@DataProvider
	public Object[][] pairs() {
		List<Object[]> r = new ArrayList<>();
		for (Stage s : Stage.values()) {
			for (Fault f : Fault.values()) {
				for (Fault g : Fault.values()) {
					r.add(new Object[] { s, f, g });
				}
			}
		}
		return r.toArray(Object[][]::new);
	}

	@Test(dataProvider = "single")
	void oneFaultAndAResubmissionElsewhere(Stage s, Fault f) {
		play(s, List.of(f), true);
	}

	@Test(dataProvider = "single")
	void oneFaultWithoutResubmission(Stage s, Fault f) {
		play(s, List.of(f), false);
	}

	@Test(dataProvider = "pairs")
	void twoFaultsAndAResubmissionElsewhere(Stage s, Fault f, Fault g) {
		play(s, List.of(f, g), true);
	}

	private void play(Stage s, List<Fault> faults, boolean resubmit) {
		World w = fleet(faults.hashCode() + s.ordinal());
		s.reach(w);
		faults.forEach((f) -> f.begin.accept(w));
		w.run(700);
		if (resubmit) {
			w.submit("e2", "job", "plain", 2);
			w.submit("e1", "job", "plain", 2);
		}
		w.run(300);
		w.finishAll();
		w.run(4_000);
		faults.forEach((f) -> f.end.accept(w));
		for (int i = 0; i < 36; i++) {
			w.finishAll();
			w.run(1_000);
		}
		everyCallerIsAnswered(w);
		servesAgain(w);
	}

	private static World fleet(long seed) {
		World w = new World(seed);
		w.entry("e1");
		w.entry("e2");
		w.agent("a1", 2);
		w.agent("a2", 2);
		w.run(2_000);
		return w;
	}

	private static void everyCallerIsAnswered(World w) {
		for (World.Request r : w.requests.values()) {
			boolean gone = !r.entry.alive || r.entry.incarnation != r.incarnation;
			w.check(gone || r.answer != null, r.spec.id() + " attempt " + r.spec.attempt() + " was never answered");
		}
	}

	private static void servesAgain(World w) {
		World.Request r = w.submit("e1", "after", "plain", 3);
		for (int i = 0; i < 5; i++) {
			w.run(300);
			w.finishAll();
		}
		w.check(r.code() == ResultCode.COMPLETE, "does not serve after the fault: " + r.code() + w.describe());
	}

	/** Resubmissions without any fault of machines. */
	public static class Resubmission {

		@DataProvider
		public Object[][] entries() {
			return new Object[][] { { "e1", "e1" }, { "e1", "e2" }, { "e2", "e1" } };
		}

		@Test(dataProvider = "entries")
		void runningJobIsJoined(String first, String second) {
			World w = fleet(1);
			World.Request a = w.submit(first, "job", "plain", 2);
			w.settle();
			World.Request b = w.submit(second, "job", "plain", 2);
			w.settle();
			w.finishAll();
			Assert.assertEquals(a.code(), ResultCode.COMPLETE);
			Assert.assertEquals(b.code(), ResultCode.COMPLETE);
			Assert.assertEquals(w.startsOf("job"), 2);
		}

		@Test(dataProvider = "entries")
		void endedJobIsAnsweredAgain(String first, String second) {
			World w = fleet(1);
			w.submit(first, "job", "plain", 2);
			w.settle();
			w.finishAll();
			w.run(1_000);
			World.Request b = w.submit(second, "job", "plain", 2);
			w.settle();
			Assert.assertEquals(b.code(), ResultCode.COMPLETE);
			Assert.assertEquals(w.startsOf("job"), 2);
		}

		@Test(dataProvider = "entries")
		void keyReusedForAnotherBodyIsRefused(String first, String second) {
			World w = fleet(1);
			w.submit(first, "job", "plain", 2);
			w.settle();
			World.Request b = w.submit(second, "job", "plain", 3);
			w.settle();
			Assert.assertEquals(b.code(), ResultCode.KEY_REUSED);
		}

		@Test(dataProvider = "entries")
		void twoFirstAttemptsOfOneTicketRunOnce(String first, String second) {
			World w = fleet(1);
			JobSpec spec = World.job("ticket", "once", 2, 1, 0);
			World.Request a = w.submit(first, spec);
			World.Request b = w.submit(second, spec);
			w.settle();
			w.finishAll();
			Assert.assertEquals(a.code(), ResultCode.COMPLETE);
			Assert.assertEquals(b.code(), ResultCode.COMPLETE);
			Assert.assertEquals(w.startsOf("ticket"), 2);
		}

		@Test
		void undeclaredAttemptIsTreatedAsResubmission() {
			World w = fleet(1);
			World.Request a = w.submit("e1", World.job("job", "plain", 1, 0, -1));
			w.run(500);
			Assert.assertEquals(a.code().family(), CodeFamily.UNKNOWN);
			Assert.assertEquals(w.startsOf("job"), 0);
		}

		@Test
		void requestThatOutlivedTheLedgersInAPausedEntryIsNotStarted() {
			World w = fleet(1);
			w.entryNode("e1").pause();
			World.Request stale = w.submit("e1", "job", "plain", 2);
			w.run(500);
			w.submit("e2", "job", "plain", 2);
			w.run(4_000);
			w.finishAll();
			w.run(70_000);
			w.entryNode("e1").thaw();
			w.run(2_000);
			Assert.assertEquals(stale.code().family(), CodeFamily.UNKNOWN);
			Assert.assertEquals(w.startsOf("job"), 2);
		}

		@Test
		void jobOfAnEntryThatWasCutOffIsNotGivenToAnAgentThatHasLostItsFences() {
			World w = new World(1);
			w.entry("e1");
			w.entry("e2");
			w.agent("a1", 1);
			w.run(2_000);
			w.submit("e1", "filler", "plain", 1);
			w.settle();
			w.submit("e1", "job", "plain", 1);
			for (String other : List.of("e2", "a1")) {
				w.cut("e1", other);
				w.cut(other, "e1");
			}
			w.run(4_000);
			World.Request second = w.submit("e2", "job", "plain", 1);
			w.run(4_000);
			w.finishAll();
			w.finishAll();
			Assert.assertEquals(second.code(), ResultCode.COMPLETE);
			w.agentNode("a1").crash();
			w.agentNode("a1").restart();
			w.heal();
			w.run(5_000);
			Assert.assertEquals(w.startsOf("job"), 1);
		}

		@Test
		void entryLossLosesNoJob() {
			World w = fleet(1);
			w.submit("e1", "job", "once", 2);
			w.settle();
			w.entryNode("e1").crash();
			w.run(500);
			World.Request b = w.submit("e2", "job", "once", 2);
			w.run(200);
			w.finishAll();
			Assert.assertEquals(b.code(), ResultCode.COMPLETE);
			Assert.assertEquals(w.startsOf("job"), 2);
		}

	}

	/** Answers that an entry no longer has room for. */
	public static class Memory {

		@Test
		void droppedAnswerIsFoundAgainAtTheAgents() {
			World w = fleet(1);
			w.submit("e1", "first", "plain", 2);
			w.settle();
			w.finishAll();
			w.largeResults = true;
			for (int i = 0; i < 20; i++) {
				w.submit("e1", "large-" + i, "plain", 1);
				w.settle();
				w.finishAll();
			}
			w.largeResults = false;
			World.Request again = w.submit("e1", "first", "plain", 2);
			w.run(500);
			Assert.assertEquals(again.code(), ResultCode.COMPLETE);
			Assert.assertEquals(w.startsOf("first"), 2);
		}

	}

	/** What leaving processes may and may not do. */
	public static class Leaving {

		@Test
		void drainingAgentGetsNothingNewAndEndsWhatItHas() {
			World w = fleet(1);
			World.Request r = w.submit("e1", "job", "plain", 4);
			w.settle();
			World.AgentNode a = w.agentNode("a1");
			Set<String> had = Set.copyOf(a.running.keySet());
			Assert.assertFalse(had.isEmpty());
			a.core.drain(a.clock());
			w.run(100);
			w.submit("e2", "late", "plain", 4);
			w.run(1_000);
			Assert.assertEquals(a.running.keySet(), had);
			Assert.assertFalse(a.core.canExit(a.clock()));
			w.finishAll();
			w.run(500);
			Assert.assertEquals(r.code(), ResultCode.COMPLETE);
			Assert.assertTrue(a.core.canExit(a.clock()));
		}

		@Test
		void drainingEntryEndsItsJobsAndRefusesNewOnes() {
			World w = fleet(1);
			World.Request r = w.submit("e1", "job", "plain", 2);
			w.settle();
			World.EntryNode e = w.entryNode("e1");
			e.core.drain(e.clock());
			Assert.assertFalse(e.core.drained(e.clock()));
			Assert.assertEquals(w.submit("e1", "new", "plain", 1).code(), ResultCode.ENTRY_DRAINING);
			w.finishAll();
			Assert.assertEquals(r.code(), ResultCode.COMPLETE);
			Assert.assertTrue(e.core.drained(e.clock()));
		}

	}

}
