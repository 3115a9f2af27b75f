package org.baobabspar.dispatch;

import java.util.List;
import java.util.function.Consumer;

import org.baobabspar.fleet.EndpointStatus;
import org.baobabspar.fleet.JobSubmission;
import org.baobabspar.fleet.Route;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.baobabspar.fleet.Step;
import org.baobabspar.message.LeaseRequest;
import org.baobabspar.message.SupervisorHello;
import org.baobabspar.supervise.LeaseTimes;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of {@link Dispatcher} in which the test sends the messages of the agents.
 */
public class DispatcherTests {

	/**
	 * Suspensions of the entry's VM, which its monotonic clock does not count.
	 */
	public static class Suspensions extends DispatcherFixture {

		private void requestLease(String name, long agentMillis) {
			requestLease(name, agentMillis, this.nowMillis);
		}

		private void requestLease(String name, long agentMillis, long entryClockMillis) {
			this.dispatcher.handleLeaseRequest(name,
					new LeaseRequest(agentMillis, status(name, 8, 1, 1), entryClockMillis), this.nowMillis);
		}

		// Guards against a job that goes on at this entry after its caller has handed it
		// in at another one.
		@Test
		void agentThatRunsAheadEndsAllJobs() {
			linkAgent("a", 8, 1);
			submit(createJob("j", 1, 100));
			requestLease("a", this.nowMillis + 2_400);
			Assert.assertEquals(outcomes(), List.of(JobOutcome.UNKNOWN));
			Assert.assertEquals(stopCount("a"), 1);
		}

		// Guards against a request that waited in a socket while this VM was suspended,
		// and is read only after the suspension has been found.
		@Test
		void requestsFromBeforeTheyWereFoundAreOlderByThem() {
			linkAgent("a", 8, 1);
			requestLease("a", this.nowMillis + 2_400);
			Assert.assertEquals(this.dispatcher.suspendedMillisSince(this.nowMillis - 150), 2_400);
			Assert.assertEquals(this.dispatcher.suspendedMillisSince(this.nowMillis), 2_400);
			Assert.assertEquals(this.dispatcher.suspendedMillisSince(this.nowMillis + 1), 0);
		}

		@Test
		void requestsFromBeforeSeveralAreOlderByAllOfThem() {
			linkAgent("a", 8, 1);
			requestLease("a", this.nowMillis + 2_400);
			this.nowMillis += 100;
			requestLease("a", this.nowMillis + 3_400);
			Assert.assertEquals(this.dispatcher.suspendedMillisSince(this.nowMillis - 150), 3_400);
			Assert.assertEquals(this.dispatcher.suspendedMillisSince(this.nowMillis - 50), 1_000);
		}

		@Test
		void requestThatWasDelayedEndsNoJob() {
			linkAgent("a", 8, 1);
			submit(createJob("j", 1, 100));
			this.nowMillis += 600;
			requestLease("a", this.nowMillis - 500, this.nowMillis - 590);
			requestLease("a", this.nowMillis);
			Assert.assertTrue(this.replies.isEmpty());
		}

	}

	/**
	 * Answers to callers.
	 */
	public static class Answers extends DispatcherFixture {

		@Test
		void completesWhenLastTaskIsDone() {
			linkAgent("a", 8, 1);
			submit(createJob("j", 2, 100));
			List<RunKey> runs = startedRuns("a");
			endRun("a", runs.get(0), RunEnd.DONE);
			Assert.assertTrue(this.replies.isEmpty());
			endRun("a", runs.get(1), RunEnd.DONE);
			Assert.assertEquals(outcomes(), List.of(JobOutcome.COMPLETED));
		}

		@Test
		void failsWhenTaskExhaustsItsAttempts() {
			linkAgent("a", 8, 1);
			linkAgent("b", 8, 1);
			submit(createJob("j", 1, 100));
			String first = startedRuns("a").isEmpty() ? "b" : "a";
			String second = first.equals("a") ? "b" : "a";
			endRun(first, startedRuns(first).get(0), RunEnd.FAILED);
			Assert.assertEquals(startedRuns(second).get(0).number(), 2);
			endRun(second, startedRuns(second).get(0), RunEnd.FAILED);
			Assert.assertEquals(outcomes(), List.of(JobOutcome.FAILED));
		}

		@Test
		void repeatsAnswerWhenJobIsSubmittedAgain() {
			linkAgent("a", 8, 1);
			submit(createJob("j", 1, 100));
			endRun("a", startedRuns("a").get(0), RunEnd.DONE);
			submit(createJob("j", 1, 100));
			Assert.assertEquals(outcomes(), List.of(JobOutcome.COMPLETED, JobOutcome.COMPLETED));
			Assert.assertEquals(startedRuns("a").size(), 1);
		}

		// The objective is 220 ms, and an answer within 660 ms is of use.
		@Test
		void refusesWithoutEndpointsOnceTheAnswerWouldBeOfNoUse() {
			submit(createJob("j", 1, 100));
			this.nowMillis += 548;
			this.dispatcher.place(this.nowMillis);
			Assert.assertTrue(this.replies.isEmpty());
			this.nowMillis += 1;
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(outcomes(), List.of(JobOutcome.REFUSED));
		}

		@Test
		void completesWhenAgentConnectsInTime() {
			submit(createJob("j", 1, 100));
			linkAgent("a", 8, 1);
			this.dispatcher.place(this.nowMillis);
			endRun("a", startedRuns("a").get(0), RunEnd.DONE);
			Assert.assertEquals(outcomes(), List.of(JobOutcome.COMPLETED));
		}

		@Test
		void refusesAtOnceWhenNoEndpointIsLargeEnough() {
			linkAgent("a", 8, 1);
			this.dispatcher.submit(
					new JobSubmission("j", "", List.of(new Step(1, CORE.times(9), 100, List.of(), "", "", 0))), ROUTE,
					10_000, this.replies::add, this.nowMillis);
			Assert.assertEquals(outcomes(), List.of(JobOutcome.REFUSED));
		}

		@Test
		void reportsUnknownOutcomeOnceTaskMayHaveStarted() {
			linkAgent("a", 8, 1);
			submit(createJob("j", 1, 100));
			this.dispatcher.declineAll("test", this.nowMillis);
			Assert.assertEquals(outcomes(), List.of(JobOutcome.UNKNOWN));
			Assert.assertEquals(stopCount("a"), 1);
		}

	}

	/**
	 * Runs that fail, are lost or are refused, and agents that open a new link.
	 */
	public static class Retries extends DispatcherFixture {

		@Test
		void repeatsLostRunOnlyAfterBothLeasesExpire() {
			linkAgent("a", 8, 1);
			submit(createJob("j", 1, 100));
			this.dispatcher.unregisterLink("a");
			this.nowMillis += LeaseTimes.LOSS_MILLIS;
			linkAgent("b", 8, 1);
			this.dispatcher.tick(this.nowMillis);
			Assert.assertTrue(startedRuns("b").isEmpty());
			this.nowMillis += 1;
			this.dispatcher.tick(this.nowMillis);
			Assert.assertEquals(startedRuns("b").get(0).number(), 2);
		}

		@Test
		void repeatsLostStartOnNewLink() {
			linkAgent("a", 8, 1);
			submit(createJob("j", 1, 100));
			this.dispatcher.unregisterLink("a");
			linkAgent("a", 8, 1);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(startedRuns("a").size(), 2);
		}

		@Test
		void keepsRunListedOnNewLink() {
			linkAgent("a", 8, 1);
			submit(createJob("j", 1, 100));
			RunKey run = startedRuns("a").get(0);
			this.dispatcher.unregisterLink("a");
			sendHello("a", status("a", 7, 1, 0), List.of(run));
			this.dispatcher.handleLeaseRequest("a",
					new LeaseRequest(this.nowMillis, status("a", 7, 1, 0), this.nowMillis), this.nowMillis);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(startedRuns("a").size(), 1);
			endRun("a", run, RunEnd.DONE);
			Assert.assertEquals(outcomes(), List.of(JobOutcome.COMPLETED));
		}

		@Test
		void ignoresHelloForEarlierLink() {
			linkAgent("a", 8, 1);
			submit(createJob("j", 1, 100));
			this.dispatcher.handleHello("a",
					new SupervisorHello("a", 1, "domain-1", status("a", 8, 1, 0), List.of(), 1), this.nowMillis);
			this.dispatcher.handleLeaseRequest("a",
					new LeaseRequest(this.nowMillis, status("a", 8, 1, 0), this.nowMillis), this.nowMillis);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(startedRuns("a").size(), 1);
		}

		/**
		 * Guards against a hello of a replaced link that arrives late. An agent opens two
		 * links in turn while the network is partitioned, and the bytes of the first link
		 * arrive after those of the second.
		 */
		@Test
		void ignoresHelloOnReplacedLink() {
			long older = this.dispatcher.registerLink("older");
			linkAgent("a", 8, 1);
			submit(createJob("j", 1, 100));
			EndpointStatus oldStatus = status("a", 8, 1, 0);
			this.dispatcher.handleHello("older", new SupervisorHello("a", 1, "domain-1", oldStatus, List.of(), older),
					this.nowMillis);
			this.dispatcher.handleLeaseRequest("older", new LeaseRequest(this.nowMillis, oldStatus, this.nowMillis),
					this.nowMillis);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(startedRuns("older"), List.of());
			endRun("a", startedRuns("a").get(0), RunEnd.DONE);
			Assert.assertEquals(outcomes(), List.of(JobOutcome.COMPLETED));
		}

		@Test
		void raisesRunNumberAfterNumberUsed() {
			linkAgent("a", 8, 1);
			submit(createJob("j", 1, 100));
			endRun("a", startedRuns("a").get(0), RunEnd.NUMBER_USED);
			Assert.assertEquals(startedRuns("a").get(1).number(), 2);
		}

	}

	/**
	 * A fleet that has just restarted. The first agent is linked and gets more work than
	 * it has room for; the others follow a moment later. If the dispatcher refused jobs
	 * as soon as they are late, it would refuse jobs for which there is room shortly
	 * after.
	 */
	public static class FleetRestarts extends DispatcherFixture {

		private void fillFirstAgent() {
			linkAgent("a", 2, 1);
			submit(createJob("first", 2, 100));
			Assert.assertEquals(startedRuns("a").size(), 2);
		}

		@Test
		void keepsJobsWaitingWhileMoreAgentsAreExpected() {
			fillFirstAgent();
			submit(createJob("j", 1, 100));
			this.nowMillis += 150;
			this.dispatcher.handleLeaseRequest("a",
					new LeaseRequest(this.nowMillis, status("a", 0, 1, 2), this.nowMillis), this.nowMillis);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(outcomes(), List.of());
			linkAgent("b", 8, 1);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(startedRuns("b").size(), 1);
		}

		@Test
		void refusesJobsOnceTheirAnswersWouldBeOfNoUse() {
			fillFirstAgent();
			submit(createJob("j", 1, 100));
			this.nowMillis += 548;
			this.dispatcher.handleLeaseRequest("a",
					new LeaseRequest(this.nowMillis, status("a", 0, 1, 2), this.nowMillis), this.nowMillis);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(outcomes(), List.of());
			this.nowMillis += 1;
			this.dispatcher.handleLeaseRequest("a",
					new LeaseRequest(this.nowMillis, status("a", 0, 1, 2), this.nowMillis), this.nowMillis);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(outcomes(), List.of(JobOutcome.REFUSED));
		}

		@Test
		void placesJobsInTimeBeforeLateJobs() {
			fillFirstAgent();
			submit(createJob("late", 2, 100));
			this.nowMillis += 150;
			submit(createJob("soon", 2, 100));
			linkAgent("b", 2, 1);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(startedRuns("b").stream().map(RunKey::jobId).distinct().toList(), List.of("soon"));
			Assert.assertEquals(outcomes(), List.of());
		}

	}

	/**
	 * Jobs whose caller disconnects before the answer.
	 */
	public static class AbandonedJobs extends DispatcherFixture {

		@Test
		void stopsRuns() {
			linkAgent("a", 8, 1);
			Consumer<JobReply> caller = submit(createJob("j", 3, 100));
			this.dispatcher.abandon("j", caller, this.nowMillis);
			Assert.assertEquals(stopCount("a"), 3);
		}

		@Test
		void startsAgainOnlyAfterOldRunHasEnded() {
			linkAgent("a", 8, 1);
			Consumer<JobReply> caller = submit(createJob("j", 1, 100));
			this.dispatcher.abandon("j", caller, this.nowMillis);
			submit(createJob("j", 1, 100));
			Assert.assertEquals(startedRuns("a").size(), 1);
			endRun("a", startedRuns("a").get(0), RunEnd.STOPPED);
			Assert.assertEquals(startedRuns("a").get(1).number(), 2);
		}

	}

	/**
	 * Selection of endpoints for tasks.
	 */
	public static class EndpointSelection extends DispatcherFixture {

		@Test
		void placesShortTasksOnSlowAndLongTasksOnFastEndpoints() {
			linkAgent("slow", 8, 0.6);
			linkAgent("fast", 8, 1.6);
			submit(createJob("short", 1, 80));
			Assert.assertEquals(startedRuns("slow").size(), 1);
			this.dispatcher.submit(createJob("long", 1, 9_000),
					new Route("other", "host", "/q/", "service", 0, 2, 1.6, 60, ""), 30_000, this.replies::add,
					this.nowMillis);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(startedRuns("fast").size(), 1);
		}

		@Test
		void startsTasksOfJobTogetherOrNotAtAll() {
			for (int i = 0; i < 6; i++) {
				linkAgent("full-" + i, 0, 1);
			}
			linkAgent("a", 2, 1);
			submit(createJob("j", 3, 100));
			Assert.assertTrue(startedRuns("a").isEmpty());
			linkAgent("b", 1, 1);
			this.dispatcher.place(this.nowMillis);
			Assert.assertEquals(startedRuns("a").size() + startedRuns("b").size(), 3);
		}

		@Test
		void countsOwnStartsBeforeAgentReportsThem() {
			linkAgent("a", 2, 1);
			submit(createJob("j", 2, 100));
			submit(createJob("k", 1, 100));
			Assert.assertEquals(startedRuns("a").size(), 2);
		}

		@Test
		void placesNothingOnSilentAgent() {
			linkAgent("a", 8, 1);
			this.nowMillis += AgentView.MAX_SILENCE_MILLIS;
			submit(createJob("j", 1, 100));
			Assert.assertTrue(startedRuns("a").isEmpty());
		}

		@Test
		void startsStepAfterItsDependencies() {
			linkAgent("a", 8, 1);
			submit(new JobSubmission("j", "", List.of(new Step(1, CORE, 100, List.of(), "", "", 0),
					new Step(1, CORE, 100, List.of(0), "", "", 0))));
			Assert.assertEquals(startedRuns("a").size(), 1);
			endRun("a", startedRuns("a").get(0), RunEnd.DONE);
			Assert.assertEquals(startedRuns("a").get(1).task(), "j/1/0");
		}

	}

}
