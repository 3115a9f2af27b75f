package org.baobabspar.supervise;

import java.util.List;

import org.baobabspar.fleet.EndpointState;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of {@link RunSupervisor} with restarted, unreachable and restored endpoints.
 */
public class RunSupervisorEndpointTests {

	/**
	 * Incarnations of the endpoint.
	 */
	public static class Incarnations extends SupervisorFixture {

		@Test
		void newIncarnationEndsRunsThatItDoesNotList() {
			attach(1);
			link();
			running("t1");
			attach(2);
			advance(1);
			observe(2, List.of(), List.of());
			Assert.assertEquals(ends(), List.of(RunEnd.LOST));
		}

		@Test
		void newIncarnationKeepsRunOrderedFromItsPredecessor() {
			attach(1);
			link();
			running("t1");
			attach(2);
			advance(1);
			observe(2, List.of(new PresentRun("t1", 1, 1)), List.of());
			Assert.assertTrue(ends().isEmpty());
			Assert.assertEquals(this.supervisor.status(0, this.nowMillis).free(), CORE.times(3));
		}

		@Test
		void anotherEndpointEndsAllRunsOnceItHasAnswered() {
			attach(1);
			link();
			running("t1");
			this.supervisor.report(new EndpointReport("endpoint-2", 2, 1, "service", CORE.times(4), List.of(), false),
					this.nowMillis);
			Assert.assertEquals(ends(), List.of());
			advance(1);
			observe(2, List.of(), List.of());
			Assert.assertEquals(ends(), List.of(RunEnd.LOST));
		}

		@Test
		void lateReportOfOldIncarnationIsIgnored() {
			attach(2);
			link();
			running("t1");
			this.supervisor.report(new EndpointReport("endpoint-1", 1, 99, "service", CORE, List.of(), false),
					this.nowMillis);
			Assert.assertTrue(ends().isEmpty());
			Assert.assertEquals(this.supervisor.status(0, this.nowMillis).capacity(), CORE.times(4));
		}

		@Test
		void restoredIncarnationIsUsedOnceItHasAnswered() {
			this.supervisor.restore(endpointCheckpoint(1), this.nowMillis);
			Assert.assertEquals(state(), EndpointState.SILENT);
			observe(4, List.of(), List.of());
			Assert.assertEquals(state(), EndpointState.SILENT);
			observe(5, List.of(), List.of());
			Assert.assertEquals(state(), EndpointState.READY);
		}

		@Test
		void reportReplacesRestoredIncarnationThatHasNotAnswered() {
			this.supervisor.restore(endpointCheckpoint(1), this.nowMillis);
			attach(4);
			Assert.assertEquals(state(), EndpointState.READY);
		}

		@Test
		void fencingTokenIsRaisedAfterARejection() {
			attach(1);
			long rejectedToken = this.driver.lastFencingToken;
			this.supervisor.fenced(this.nowMillis);
			advance(30);
			Assert.assertTrue(this.driver.lastFencingToken > rejectedToken);
		}

	}

	/**
	 * Endpoints that do not accept connections.
	 */
	public static class Unreachable extends SupervisorFixture {

		@Test
		void startThatCouldNotBeSentIsRefusedAndEndpointIsSilent() {
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
		void runsAreNotLostBeforeTheirLeaseHasExpired() {
			attach(1);
			link();
			running("t1");
			this.supervisor.unreachable(this.nowMillis);
			this.supervisor.pollFailed(this.nowMillis);
			grant();
			advance(LeaseTimes.ENTRY_LEASE_MILLIS - 10);
			Assert.assertEquals(ends(), List.of());
		}

	}

	/**
	 * Checkpoints of an endpoint.
	 */
	public static class Checkpoints extends SupervisorFixture {

		private void reportDraining() {
			this.supervisor.report(new EndpointReport("endpoint-1", 1, 2, "service", CORE.times(4), List.of(), true),
					this.nowMillis);
		}

		@Test
		void isMadeWhenTheEndpointBeginsToDrain() {
			attach(1);
			this.supervisor.checkpoint(this.nowMillis);
			reportDraining();
			Assert.assertTrue(this.supervisor.checkpoint(this.nowMillis).orElseThrow().report().draining());
			Assert.assertTrue(this.supervisor.checkpoint(this.nowMillis).isEmpty());
		}

		// Guards against a leaving endpoint that gets new runs after a restart of its
		// agent.
		@Test
		void drainingEndpointStillDrainsAfterARestart() {
			attach(1);
			reportDraining();
			EndpointCheckpoint checkpoint = this.supervisor.checkpoint(this.nowMillis).orElseThrow();
			create();
			this.supervisor.restore(checkpoint, this.nowMillis);
			link();
			observe(1, List.of(), List.of());
			Assert.assertEquals(state(), EndpointState.DRAINING);
			order("t1");
			Assert.assertEquals(ends(), List.of(RunEnd.REFUSED));
		}

		private void completeRuns(int count, long runMillis) {
			for (int i = 0; i < count; i++) {
				running("t" + i);
				advance(runMillis);
				grant();
				observe(1, List.of(), List.of(new EndedRun(i + 1, "t" + i, 1, RunEnd.DONE)));
			}
		}

		@Test
		void newIncarnationIsStoredOnce() {
			attach(1);
			Assert.assertEquals(this.supervisor.checkpoint(this.nowMillis).orElseThrow().report().bornMillis(), 1);
			Assert.assertTrue(this.supervisor.checkpoint(this.nowMillis).isEmpty());
		}

		@Test
		void speedIsStoredOnceItIsKnown() {
			attach(1);
			link();
			this.supervisor.checkpoint(this.nowMillis);
			completeRuns(40, 200);
			Assert.assertEquals(this.supervisor.checkpoint(this.nowMillis).orElseThrow().baselineSpeed(), 0.5, 0.05);
			Assert.assertTrue(this.supervisor.checkpoint(this.nowMillis).isEmpty());
		}

		@Test
		void newIncarnationOnTheSameVmKeepsTheSpeed() {
			attach(1);
			link();
			completeRuns(40, 200);
			attach(2);
			Assert.assertEquals(this.supervisor.status(0, this.nowMillis).speed(), 0.5, 0.05);
		}

		@Test
		void restoredSpeedIsUsedAfterAnAgentRestart() {
			this.supervisor.restore(endpointCheckpoint(0.5), this.nowMillis);
			attach(7);
			Assert.assertEquals(this.supervisor.status(0, this.nowMillis).speed(), 0.5, 0.001);
		}

		@Test
		void speedRestoredAfterTheReportIsUsed() {
			attach(7);
			this.supervisor.restore(endpointCheckpoint(0.5), this.nowMillis);
			Assert.assertEquals(this.supervisor.status(0, this.nowMillis).speed(), 0.5, 0.001);
		}

	}

	/**
	 * Deregistrations, which name an endpoint and no incarnation of it.
	 */
	public static class Deregistrations extends SupervisorFixture {

		private void reportSequence(long sequence) {
			report("endpoint-1", 1, sequence);
		}

		@Test
		void endTheUseOfTheEndpoint() {
			attach(1);
			this.supervisor.deregistered("endpoint-1", this.nowMillis);
			Assert.assertEquals(state(), EndpointState.DRAINING);
		}

		// Guards against an endpoint that gets no work for as long as it lives, because
		// the deregistration of the incarnation before it arrived late.
		@Test
		void thatComeLateEndWithTheNextReport() {
			attach(1);
			this.supervisor.deregistered("endpoint-1", this.nowMillis);
			reportSequence(2);
			Assert.assertEquals(state(), EndpointState.READY);
		}

		@Test
		void outlastReportsThatWereSentBefore() {
			attach(1);
			reportSequence(7);
			this.supervisor.deregistered("endpoint-1", this.nowMillis);
			reportSequence(6);
			reportSequence(7);
			Assert.assertEquals(state(), EndpointState.DRAINING);
		}

	}

}
