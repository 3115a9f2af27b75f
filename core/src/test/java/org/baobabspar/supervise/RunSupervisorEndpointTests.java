package org.baobabspar.supervise;

import java.util.List;

import org.baobabspar.fleet.EndpointState;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Lifetimes of the endpoint of a {@link RunSupervisor}.
 */
public class RunSupervisorEndpointTests {

	/**
	 * Lifetimes of the endpoint.
	 */
	public static class Lifetimes extends SupervisorFixture {

		@Test
		void aNewOneEndsTheRunsThatItDoesNotList() {
			attach(1);
			link();
			running("t1");
			attach(2);
			pass(1);
			observe(2, List.of(), List.of());
			Assert.assertEquals(ends(), List.of(RunEnd.LOST));
		}

		@Test
		void aNewOneKeepsARunThatWasMeantForTheLast() {
			attach(1);
			link();
			running("t1");
			attach(2);
			pass(1);
			observe(2, List.of(new PresentRun("t1", 1, 1)), List.of());
			Assert.assertTrue(ends().isEmpty());
			Assert.assertEquals(this.supervisor.status(0, this.nowMillis).free(), CORE.times(3));
		}

		@Test
		void anotherEndpointEndsAllRuns() {
			attach(1);
			link();
			running("t1");
			this.supervisor.report(new EndpointReport("endpoint-2", 2, 1, "service", CORE.times(4), List.of(), false),
					this.nowMillis);
			Assert.assertEquals(ends(), List.of(RunEnd.LOST));
		}

		@Test
		void aLateReportOfAnOldOneIsIgnored() {
			attach(2);
			link();
			running("t1");
			this.supervisor.report(new EndpointReport("endpoint-1", 1, 99, "service", CORE, List.of(), false),
					this.nowMillis);
			Assert.assertTrue(ends().isEmpty());
			Assert.assertEquals(this.supervisor.status(0, this.nowMillis).capacity(), CORE.times(4));
		}

		@Test
		void aRememberedOneIsUsedOnceItHasAnswered() {
			this.supervisor.restore(memo(1), this.nowMillis);
			Assert.assertEquals(state(), EndpointState.SILENT);
			observe(4, List.of(), List.of());
			Assert.assertEquals(state(), EndpointState.SILENT);
			observe(5, List.of(), List.of());
			Assert.assertEquals(state(), EndpointState.READY);
		}

		@Test
		void aRememberedOneThatHasNotAnsweredGivesWayToAReport() {
			this.supervisor.restore(memo(1), this.nowMillis);
			attach(4);
			Assert.assertEquals(state(), EndpointState.READY);
		}

		@Test
		void aHigherFenceIsOvertaken() {
			attach(1);
			long before = this.driver.lastFence;
			this.supervisor.fenced(this.nowMillis);
			pass(30);
			Assert.assertTrue(this.driver.lastFence > before);
		}

	}

	/**
	 * An endpoint that takes no connections.
	 */
	public static class Unreachable extends SupervisorFixture {

		@Test
		void aStartThatCouldNotBeSentIsGivenBackAndNoMoreAreTaken() {
			attach(1);
			link();
			RunKey run = order("t1");
			this.supervisor.startAnswered(run, StartAnswer.NOT_SENT, this.nowMillis);
			Assert.assertEquals(ends(), List.of(RunEnd.REFUSED));
			Assert.assertEquals(state(), EndpointState.SILENT);
			observe(1, List.of(), List.of());
			Assert.assertEquals(state(), EndpointState.READY);
		}

		@Test
		void itsRunsAreLostOnlyOnceTheirLeaseHasLapsed() {
			attach(1);
			link();
			running("t1");
			this.supervisor.unreachable(this.nowMillis);
			this.supervisor.pollFailed(this.nowMillis);
			grant();
			pass(LeaseTimes.ENTRY_LEASE_MILLIS - 10);
			Assert.assertEquals(ends(), List.of());
		}

	}

	/**
	 * What is stored of an endpoint.
	 */
	public static class Memos extends SupervisorFixture {

		private void runs(int count, long millis) {
			for (int i = 0; i < count; i++) {
				running("t" + i);
				pass(millis);
				grant();
				observe(1, List.of(), List.of(new EndedRun(i + 1, "t" + i, 1, RunEnd.DONE)));
			}
		}

		@Test
		void aNewLifetimeIsStoredOnce() {
			attach(1);
			Assert.assertEquals(this.supervisor.checkpoint(this.nowMillis).orElseThrow().report().bornMillis(), 1);
			Assert.assertTrue(this.supervisor.checkpoint(this.nowMillis).isEmpty());
		}

		@Test
		void itsSpeedIsStoredOnceItIsKnown() {
			attach(1);
			link();
			this.supervisor.checkpoint(this.nowMillis);
			runs(40, 200);
			Assert.assertEquals(this.supervisor.checkpoint(this.nowMillis).orElseThrow().baselineSpeed(), 0.5, 0.05);
			Assert.assertTrue(this.supervisor.checkpoint(this.nowMillis).isEmpty());
		}

		@Test
		void theNextLifetimeOfTheVmIsAsFastAsTheLast() {
			attach(1);
			link();
			runs(40, 200);
			attach(2);
			Assert.assertEquals(this.supervisor.status(0, this.nowMillis).speed(), 0.5, 0.05);
		}

		@Test
		void aRestartedAgentKnowsTheSpeed() {
			this.supervisor.restore(memo(0.5), this.nowMillis);
			attach(7);
			Assert.assertEquals(this.supervisor.status(0, this.nowMillis).speed(), 0.5, 0.001);
		}

		@Test
		void aSpeedThatArrivesAfterTheReportCounts() {
			attach(7);
			this.supervisor.restore(memo(0.5), this.nowMillis);
			Assert.assertEquals(this.supervisor.status(0, this.nowMillis).speed(), 0.5, 0.001);
		}

	}

}
