package org.baobabspar.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.baobabspar.fleet.EndpointState;
import org.baobabspar.fleet.EndpointStatus;
import org.baobabspar.fleet.JobSubmission;
import org.baobabspar.fleet.Resources;
import org.baobabspar.fleet.Route;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.baobabspar.fleet.Step;
import org.baobabspar.message.LeaseRequest;
import org.baobabspar.message.Message;
import org.baobabspar.message.RunEnded;
import org.baobabspar.message.RunStart;
import org.baobabspar.message.RunStop;
import org.baobabspar.message.SupervisorHello;
import org.baobabspar.supervise.LeaseTimes;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of {@link Dispatcher} with agents played by the test.
 */
public class DispatcherTests {

	private static final Resources CORE = new Resources(1_000, 64, 0);

	private static final Route ROUTE = new Route("route", "host", "/p/", "service", 0, 2, 1.6, 60, "");

	long nowMillis;

	Map<String, List<Message>> sent;

	Map<String, Long> ends;

	List<JobReply> replies;

	Dispatcher dispatcher;

	@BeforeMethod
	void create() {
		this.nowMillis = 50_000;
		this.sent = new TreeMap<>();
		this.ends = new TreeMap<>();
		this.replies = new ArrayList<>();
		this.dispatcher = new Dispatcher("domain-1", new DispatchOutbox() {

			@Override
			public void send(String link, Message m) {
				DispatcherTests.this.sent.computeIfAbsent(link, (l) -> new ArrayList<>()).add(m);
			}

			@Override
			public void close(String link) {
			}

			@Override
			public void log(String line) {
			}

			@Override
			public void recordJobEnd(String route, JobReply reply, long millis) {
			}

		});
	}

	static EndpointStatus status(String name, int free, double speed, long sequence) {
		return new EndpointStatus("endpoint-" + name, "service", EndpointState.READY, CORE.times(8), CORE.times(free),
				List.of(), speed, sequence);
	}

	void agent(String name, int free, double speed) {
		hello(name, status(name, free, speed, 0), List.of());
		this.dispatcher.handleLeaseRequest(name, new LeaseRequest(this.nowMillis, status(name, free, speed, 0)),
				this.nowMillis);
	}

	void hello(String name, EndpointStatus status, List<RunKey> runs) {
		long number = this.dispatcher.registerLink(name);
		this.dispatcher.handleHello(name, new SupervisorHello(name, 1, "domain-1", status, runs, number),
				this.nowMillis);
	}

	static JobSubmission job(String id, int tasks, long millis) {
		return new JobSubmission(id, "payload", List.of(new Step(tasks, CORE, millis, List.of(), "", "", 0)));
	}

	Consumer<JobReply> submit(JobSubmission order) {
		Consumer<JobReply> caller = this.replies::add;
		this.dispatcher.submit(order, ROUTE, 10_000, caller, this.nowMillis);
		this.dispatcher.place(this.nowMillis);
		return caller;
	}

	List<RunKey> starts(String agent) {
		return this.sent.getOrDefault(agent, List.of())
			.stream()
			.filter(RunStart.class::isInstance)
			.map((m) -> ((RunStart) m).run())
			.toList();
	}

	long stops(String agent) {
		return this.sent.getOrDefault(agent, List.of()).stream().filter(RunStop.class::isInstance).count();
	}

	void end(String agent, RunKey run, RunEnd end) {
		long sequence = this.ends.merge(agent, 1L, Long::sum);
		this.dispatcher.handleRunEnded(agent, new RunEnded(sequence, run, end, 100), this.nowMillis);
		this.dispatcher.place(this.nowMillis);
	}

	List<JobOutcome> outcomes() {
		return this.replies.stream().map(JobReply::outcome).toList();
	}

	/**
	 * Answers.
	 */
	public static class Answers extends DispatcherTests {

		@Test
		void completedWithTheLastTask() {
			agent("a", 8, 1);
			submit(job("j", 2, 100));
			List<RunKey> runs = starts("a");
			end("a", runs.get(0), RunEnd.DONE);
			Assert.assertTrue(this.replies.isEmpty());
			end("a", runs.get(1), RunEnd.DONE);
			Assert.assertEquals(outcomes(), List.of(JobOutcome.COMPLETED));
		}

		@Test
		void failedWhenATaskHasFailedAsOftenAsTheRouteAllows() {
			agent("a", 8, 1);
			agent("b", 8, 1);
			submit(job("j", 1, 100));
			String first = starts("a").isEmpty() ? "b" : "a";
			String second = first.equals("a") ? "b" : "a";
			end(first, starts(first).get(0), RunEnd.FAILED);
			Assert.assertEquals(starts(second).get(0).number(), 2);
			end(second, starts(second).get(0), RunEnd.FAILED);
			Assert.assertEquals(outcomes(), List.of(JobOutcome.FAILED));
		}

		@Test
		void theSameForACallerThatAsksAgain() {
			agent("a", 8, 1);
			submit(job("j", 1, 100));
			end("a", starts("a").get(0), RunEnd.DONE);
			submit(job("j", 1, 100));
			Assert.assertEquals(outcomes(), List.of(JobOutcome.COMPLETED, JobOutcome.COMPLETED));
			Assert.assertEquals(starts("a").size(), 1);
		}

		@Test
		void refusedWithoutEndpointsWhenItCannotBeInTimeAnyMore() {
			submit(job("j", 1, 100));
			this.nowMillis += 100;
			this.dispatcher.place(this.nowMillis);
			Assert.assertTrue(this.replies.isEmpty());
			this.nowMillis += 20;
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(outcomes(), List.of(JobOutcome.REFUSED));
		}

		@Test
		void completedIfAnAgentComesInTime() {
			submit(job("j", 1, 100));
			agent("a", 8, 1);
			this.dispatcher.place(this.nowMillis);
			end("a", starts("a").get(0), RunEnd.DONE);
			Assert.assertEquals(outcomes(), List.of(JobOutcome.COMPLETED));
		}

		@Test
		void refusedAtOnceIfNoEndpointIsLargeEnough() {
			agent("a", 8, 1);
			this.dispatcher.submit(
					new JobSubmission("j", "", List.of(new Step(1, CORE.times(9), 100, List.of(), "", "", 0))), ROUTE,
					10_000, this.replies::add, this.nowMillis);
			Assert.assertEquals(outcomes(), List.of(JobOutcome.REFUSED));
		}

		@Test
		void neverRefusedOnceATaskMayHaveBegun() {
			agent("a", 8, 1);
			submit(job("j", 1, 100));
			this.dispatcher.declineAll("test", this.nowMillis);
			Assert.assertEquals(outcomes(), List.of(JobOutcome.UNKNOWN));
			Assert.assertEquals(stops("a"), 1);
		}

	}

	/**
	 * Runs that end otherwise than done.
	 */
	public static class Repeats extends DispatcherTests {

		@Test
		void aLostRunIsOrderedAgainOnlyWhenBothLeasesHaveLapsed() {
			agent("a", 8, 1);
			submit(job("j", 1, 100));
			this.dispatcher.unregisterLink("a");
			this.nowMillis += LeaseTimes.LOSS_MILLIS;
			agent("b", 8, 1);
			this.dispatcher.tick(this.nowMillis);
			Assert.assertTrue(starts("b").isEmpty());
			this.nowMillis += 1;
			this.dispatcher.tick(this.nowMillis);
			Assert.assertEquals(starts("b").get(0).number(), 2);
		}

		@Test
		void anOrderThatTheAgentNeverGotIsRepeatedOnANewLink() {
			agent("a", 8, 1);
			submit(job("j", 1, 100));
			this.dispatcher.unregisterLink("a");
			agent("a", 8, 1);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(starts("a").size(), 2);
		}

		@Test
		void aRunThatTheAgentListsOnANewLinkIsKept() {
			agent("a", 8, 1);
			submit(job("j", 1, 100));
			RunKey run = starts("a").get(0);
			this.dispatcher.unregisterLink("a");
			hello("a", status("a", 7, 1, 0), List.of(run));
			this.dispatcher.handleLeaseRequest("a", new LeaseRequest(this.nowMillis, status("a", 7, 1, 0)),
					this.nowMillis);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(starts("a").size(), 1);
			end("a", run, RunEnd.DONE);
			Assert.assertEquals(outcomes(), List.of(JobOutcome.COMPLETED));
		}

		@Test
		void aHelloForAnEarlierLinkIsIgnored() {
			agent("a", 8, 1);
			submit(job("j", 1, 100));
			this.dispatcher.handleHello("a",
					new SupervisorHello("a", 1, "domain-1", status("a", 8, 1, 0), List.of(), 1), this.nowMillis);
			this.dispatcher.handleLeaseRequest("a", new LeaseRequest(this.nowMillis, status("a", 8, 1, 0)),
					this.nowMillis);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(starts("a").size(), 1);
		}

		/**
		 * Both links were cut while the agent opened one after the other; when the cut
		 * ended, their bytes came in the wrong order.
		 */
		@Test
		void aHelloOnAnOlderLinkIsIgnored() {
			long older = this.dispatcher.registerLink("older");
			agent("a", 8, 1);
			submit(job("j", 1, 100));
			EndpointStatus before = status("a", 8, 1, 0);
			this.dispatcher.handleHello("older", new SupervisorHello("a", 1, "domain-1", before, List.of(), older),
					this.nowMillis);
			this.dispatcher.handleLeaseRequest("older", new LeaseRequest(this.nowMillis, before), this.nowMillis);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(starts("older"), List.of());
			end("a", starts("a").get(0), RunEnd.DONE);
			Assert.assertEquals(outcomes(), List.of(JobOutcome.COMPLETED));
		}

		@Test
		void aUsedNumberIsFollowedByAHigherOne() {
			agent("a", 8, 1);
			submit(job("j", 1, 100));
			end("a", starts("a").get(0), RunEnd.NUMBER_USED);
			Assert.assertEquals(starts("a").get(1).number(), 2);
		}

	}

	/**
	 * A fleet that has just restarted: the first agent is there, and far more work than
	 * it can take; the others come a moment later.
	 */
	public static class Restarts extends DispatcherTests {

		private void fillFirstAgent() {
			agent("a", 2, 1);
			submit(job("first", 2, 100));
			Assert.assertEquals(starts("a").size(), 2);
		}

		@Test
		void jobsThatTheFirstAgentCannotTakeWaitForTheOthers() {
			fillFirstAgent();
			submit(job("j", 1, 100));
			this.nowMillis += 150;
			this.dispatcher.handleLeaseRequest("a", new LeaseRequest(this.nowMillis, status("a", 0, 1, 2)),
					this.nowMillis);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(outcomes(), List.of());
			agent("b", 8, 1);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(starts("b").size(), 1);
		}

		@Test
		void jobsAreRefusedOnceNoMoreAgentsCome() {
			fillFirstAgent();
			submit(job("j", 1, 100));
			this.nowMillis += 400;
			this.dispatcher.handleLeaseRequest("a", new LeaseRequest(this.nowMillis, status("a", 0, 1, 2)),
					this.nowMillis);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(outcomes(), List.of(JobOutcome.REFUSED));
		}

		@Test
		void jobsThatCanBeInTimeGoBeforeThoseThatWillBeLate() {
			fillFirstAgent();
			submit(job("late", 2, 100));
			this.nowMillis += 150;
			submit(job("soon", 2, 100));
			agent("b", 2, 1);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(starts("b").stream().map(RunKey::jobId).distinct().toList(), List.of("soon"));
			Assert.assertEquals(outcomes(), List.of());
		}

	}

	/**
	 * Callers who go.
	 */
	public static class GoneCallers extends DispatcherTests {

		@Test
		void endTheirRuns() {
			agent("a", 8, 1);
			Consumer<JobReply> caller = submit(job("j", 3, 100));
			this.dispatcher.abandon("j", caller, this.nowMillis);
			Assert.assertEquals(stops("a"), 3);
		}

		@Test
		void whoComeBackWaitForTheirOldRuns() {
			agent("a", 8, 1);
			Consumer<JobReply> caller = submit(job("j", 1, 100));
			this.dispatcher.abandon("j", caller, this.nowMillis);
			submit(job("j", 1, 100));
			Assert.assertEquals(starts("a").size(), 1);
			end("a", starts("a").get(0), RunEnd.STOPPED);
			Assert.assertEquals(starts("a").get(1).number(), 2);
		}

	}

	/**
	 * Choice of endpoints.
	 */
	public static class Placing extends DispatcherTests {

		@Test
		void shortTasksTakeSlowEndpointsAndLongOnesFastOnes() {
			agent("slow", 8, 0.6);
			agent("fast", 8, 1.6);
			submit(job("short", 1, 80));
			Assert.assertEquals(starts("slow").size(), 1);
			this.dispatcher.submit(job("long", 1, 9_000),
					new Route("other", "host", "/q/", "service", 0, 2, 1.6, 60, ""), 30_000, this.replies::add,
					this.nowMillis);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(starts("fast").size(), 1);
		}

		@Test
		void tasksOfAJobStartTogetherOrNotAtAll() {
			for (int i = 0; i < 6; i++) {
				agent("full-" + i, 0, 1);
			}
			agent("a", 2, 1);
			submit(job("j", 3, 100));
			Assert.assertTrue(starts("a").isEmpty());
			agent("b", 1, 1);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(starts("a").size() + starts("b").size(), 3);
		}

		@Test
		void ownOrdersCountBeforeTheAgentHasSeenThem() {
			agent("a", 2, 1);
			submit(job("j", 2, 100));
			submit(job("k", 1, 100));
			Assert.assertEquals(starts("a").size(), 2);
		}

		@Test
		void aQuietAgentGetsNothing() {
			agent("a", 8, 1);
			this.nowMillis += AgentView.QUIET_MILLIS;
			submit(job("j", 1, 100));
			Assert.assertTrue(starts("a").isEmpty());
		}

		@Test
		void stepsWaitForThoseTheyDependOn() {
			agent("a", 8, 1);
			submit(new JobSubmission("j", "", List.of(new Step(1, CORE, 100, List.of(), "", "", 0),
					new Step(1, CORE, 100, List.of(0), "", "", 0))));
			Assert.assertEquals(starts("a").size(), 1);
			end("a", starts("a").get(0), RunEnd.DONE);
			Assert.assertEquals(starts("a").get(1).task(), "j/1/0");
		}

	}

}
