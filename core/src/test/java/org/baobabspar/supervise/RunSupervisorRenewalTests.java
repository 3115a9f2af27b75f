package org.baobabspar.supervise;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.baobabspar.fleet.EndpointState;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.baobabspar.message.EntryWelcome;
import org.baobabspar.message.LeaseGrant;
import org.baobabspar.message.RunStart;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of {@link RunSupervisor} with leases of the endpoint while a run should have
 * ended already.
 */
public class RunSupervisorRenewalTests {

	private static final long TICK_MILLIS = 40;

	private static final PresentRun RUN = new PresentRun("t1", 1, 0);

	private static final PresentRun OTHER_RUN = new PresentRun("other", 1, 0);

	/**
	 * An endpoint that runs a task of each of two entries and leaves stops unanswered.
	 */
	abstract static class TwoEntriesFixture extends SupervisorFixture {

		static final String OTHER_LINK = "entry-2";

		/** When the last request that the first entry granted was sent. */
		long lastGrantedMillis;

		RunKey run;

		void runTasksOfTwoEntries() {
			attach(1);
			link();
			this.run = running("t1");
			this.supervisor.welcomed(OTHER_LINK, new EntryWelcome(OTHER_LINK, 8, 0, 0), this.nowMillis);
			grantOther();
			this.supervisor.startAnswered(orderOther("other"), StartAnswer.STARTED, this.nowMillis);
			observe(1, List.of(RUN, OTHER_RUN), List.of());
			this.lastGrantedMillis = this.nowMillis;
		}

		void grantOther() {
			this.supervisor.granted(OTHER_LINK, new LeaseGrant(this.nowMillis, 0, 0), this.nowMillis);
		}

		RunKey orderOther(String task) {
			RunKey key = new RunKey("other-job", task, 1);
			this.supervisor.start(OTHER_LINK,
					new RunStart(++this.lastStartSequence, key, "payload", CORE, 100, this.nowMillis), this.nowMillis);
			return key;
		}

		/**
		 * Lets the time pass while the second entry grants leases and the endpoint lists
		 * both runs, whose percentage rises.
		 * @param millis how long
		 */
		void passWithBothRunsListed(long millis) {
			passListing(millis, RUN, OTHER_RUN);
		}

		void passListing(long millis, PresentRun... present) {
			long untilMillis = this.nowMillis + millis;
			while (this.nowMillis < untilMillis) {
				this.nowMillis += TICK_MILLIS;
				grantOther();
				this.supervisor.tick(this.nowMillis);
				List<PresentRun> listed = new ArrayList<>();
				for (PresentRun presentRun : present) {
					listed.add(new PresentRun(presentRun.task(), presentRun.number(),
							(int) (this.nowMillis / TICK_MILLIS % 100)));
				}
				observe(1, listed, List.of());
			}
		}

		void assertLeaseEndsBeforeRestart(long lastGrantMillis) {
			double allEndedMillis = (this.driver.leaseUntilMillis - lastGrantMillis) * LeaseTimes.CLOCK_DRIFT_FACTOR
					+ LeaseTimes.MAX_STOP_MILLIS;
			Assert.assertTrue(allEndedMillis < LeaseTimes.LOSS_MILLIS, "the runs end after " + allEndedMillis);
		}

		List<String> logLinesWith(String text) {
			return this.logLines.stream().filter((line) -> line.contains(text)).toList();
		}

	}

	/**
	 * Runs whose entry grants no lease any more.
	 */
	public static class LapsedRuns extends TwoEntriesFixture {

		// Guards against a run that outlives its entry's wait because its stop is lost.
		@Test
		void endWithTheLeaseOfTheEndpointIfStopsAreNotAnswered() {
			runTasksOfTwoEntries();
			passWithBothRunsListed(3_000);
			Assert.assertFalse(this.driver.stops.isEmpty());
			assertLeaseEndsBeforeRestart(this.lastGrantedMillis);
		}

		// Guards against a renewal by a poll that is answered before the first tick.
		@Test
		void areNotRenewedByTheFirstPollAfterAFreeze() {
			runTasksOfTwoEntries();
			this.nowMillis += LeaseTimes.LOSS_MILLIS;
			observe(1, List.of(RUN, OTHER_RUN), List.of());
			Assert.assertEquals(this.driver.lastLeaseMillis, 0);
			assertLeaseEndsBeforeRestart(this.lastGrantedMillis);
		}

		// Guards against a run that an entry has given up and then keeps by a new lease.
		@Test
		void areNotKeptByAGrantAfterTheLapse() {
			runTasksOfTwoEntries();
			passWithBothRunsListed(LeaseTimes.LOSS_MILLIS + TICK_MILLIS);
			for (int i = 0; i < 20; i++) {
				grant();
				passWithBothRunsListed(TICK_MILLIS);
			}
			assertLeaseEndsBeforeRestart(this.lastGrantedMillis);
		}

		// Guards against a lapse that no tick has seen before the next grant.
		@Test
		void areStoppedIfTheGrantComesBeforeTheTick() {
			runTasksOfTwoEntries();
			this.nowMillis += LeaseTimes.ENTRY_LEASE_MILLIS + 10;
			grant();
			this.supervisor.tick(this.nowMillis);
			Assert.assertTrue(this.driver.stops.contains("t1#1"));
		}

		// Guards against a stop of runs whose lease was extended without a gap.
		@Test
		void areNotThoseWithAGrantForARequestWithinTheLease() {
			runTasksOfTwoEntries();
			long requestMillis = this.nowMillis + LeaseTimes.ENTRY_LEASE_MILLIS - 1;
			this.nowMillis = requestMillis + 10;
			grantOther();
			this.supervisor.granted(LINK, new LeaseGrant(requestMillis, 0, 0), this.nowMillis);
			this.supervisor.tick(this.nowMillis);
			Assert.assertFalse(this.driver.stops.contains("t1#1"));
		}

		// Guards against a start that extends the lease of a run that should have ended.
		@Test
		void areNotRenewedByAStart() {
			runTasksOfTwoEntries();
			this.nowMillis += LeaseTimes.ENTRY_LEASE_MILLIS - TICK_MILLIS;
			grantOther();
			observe(1, List.of(new PresentRun("t1", 1, 1), new PresentRun("other", 1, 1)), List.of());
			this.nowMillis += TICK_MILLIS + 90;
			orderOther("next");
			assertLeaseEndsBeforeRestart(this.lastGrantedMillis);
		}

		// Guards against starts that would lapse with the run that should have ended.
		@Test
		void preventStartsUntilTheyHaveEnded() {
			runTasksOfTwoEntries();
			passWithBothRunsListed(LeaseTimes.ENTRY_LEASE_MILLIS + 3 * TICK_MILLIS);
			Assert.assertEquals(state(), EndpointState.SILENT);
			int starts = this.driver.starts.size();
			orderOther("next");
			Assert.assertEquals(this.driver.starts.size(), starts);
			Assert.assertTrue(this.logLines.get(this.logLines.size() - 1).endsWith("reason=renewal_withheld"));
			observe(1, List.of(OTHER_RUN), List.of(new EndedRun(1, "t1", 1, RunEnd.STOPPED)));
			Assert.assertEquals(state(), EndpointState.READY);
			orderOther("next");
			Assert.assertEquals(this.driver.starts.size(), starts + 1);
		}

		// Guards against a price for other runs when the stop is carried out at once.
		@Test
		void costTheOtherRunsNothingIfTheyEndInTime() {
			runTasksOfTwoEntries();
			passWithBothRunsListed(LeaseTimes.ENTRY_LEASE_MILLIS + TICK_MILLIS);
			Assert.assertEquals(state(), EndpointState.READY);
			observe(1, List.of(OTHER_RUN), List.of(new EndedRun(1, "t1", 1, RunEnd.STOPPED)));
			Assert.assertEquals(this.driver.leaseUntilMillis, this.nowMillis + LeaseTimes.ENDPOINT_LEASE_MILLIS);
		}

	}

	/**
	 * Runs whose stop the entry has ordered, since their caller has an answer or has
	 * left.
	 */
	public static class OrderedStops extends TwoEntriesFixture {

		// Guards against a run that outlives the wait of a caller that has its answer.
		@Test
		void endTheRunsWithTheLeaseThatTheEntryHadThen() {
			runTasksOfTwoEntries();
			this.supervisor.stop(LINK, this.run, this.nowMillis);
			for (int i = 0; i < 50; i++) {
				grant();
				passWithBothRunsListed(TICK_MILLIS);
			}
			assertLeaseEndsBeforeRestart(this.lastGrantedMillis);
		}

		// Guards against an order that is ignored because the agent itself stops the run.
		@Test
		void countAlsoForRunsThatAreBeingStopped() {
			runTasksOfTwoEntries();
			this.supervisor.startAnswered(orderOther("lost"), StartAnswer.UNKNOWN, this.nowMillis);
			passWithBothRunsListed(TICK_MILLIS);
			Assert.assertTrue(this.driver.stops.contains("lost#1"));
			grant();
			this.supervisor.stop(OTHER_LINK, new RunKey("other-job", "lost", 1), this.nowMillis);
			long answeredMillis = this.nowMillis;
			for (int i = 0; i < 50; i++) {
				grant();
				passWithBothRunsListed(TICK_MILLIS);
			}
			assertLeaseEndsBeforeRestart(answeredMillis);
		}

	}

	/**
	 * Runs that the agent stops while their entry waits for their end.
	 */
	public static class StopsByTheAgent extends TwoEntriesFixture {

		// Guards against a price for other runs while nobody starts the task elsewhere.
		@Test
		void leaveRenewalsAsTheyAreWhileTheEntryGrants() {
			runTasksOfTwoEntries();
			this.supervisor.startAnswered(orderOther("lost"), StartAnswer.UNKNOWN, this.nowMillis);
			for (int i = 0; i < 50; i++) {
				grant();
				passWithBothRunsListed(TICK_MILLIS);
			}
			Assert.assertTrue(this.driver.stops.contains("lost#1"));
			Assert.assertEquals(this.driver.leaseUntilMillis, this.nowMillis + LeaseTimes.ENDPOINT_LEASE_MILLIS);
		}

		// Guards against a start that is carried out late after its entry has failed.
		@Test
		void withholdRenewalsOnceTheLeaseOfTheEntryHasLapsed() {
			runTasksOfTwoEntries();
			this.supervisor.startAnswered(order("lost"), StartAnswer.UNKNOWN, this.nowMillis);
			passListing(3_000, OTHER_RUN);
			assertLeaseEndsBeforeRestart(this.lastGrantedMillis);
		}

	}

	/**
	 * Runs that the agent does not know, whose owner may start them elsewhere any time.
	 */
	public static class OrphanedRuns extends TwoEntriesFixture {

		private static final PresentRun ORPHAN = new PresentRun("orphan", 3, 0);

		// Guards against renewals for runs whose owner is not known.
		@Test
		void areNotRenewedWithTheRunsOfEntries() {
			runTasksOfTwoEntries();
			long listedMillis = this.nowMillis;
			for (int i = 0; i < 20; i++) {
				grant();
				passListing(TICK_MILLIS, RUN, OTHER_RUN, ORPHAN);
			}
			Assert.assertTrue(this.driver.leaseUntilMillis <= listedMillis + LeaseTimes.ENDPOINT_LEASE_MILLIS);
			grant();
			passWithBothRunsListed(TICK_MILLIS);
			Assert.assertEquals(this.driver.leaseUntilMillis, this.nowMillis + LeaseTimes.ENDPOINT_LEASE_MILLIS);
		}

		// Guards against an inventory that is older than the one with the orphaned run.
		@Test
		void areGoneOnlyIfALaterInventoryDoesNotListThem() {
			runTasksOfTwoEntries();
			long sentMillis = this.nowMillis;
			this.nowMillis += 10;
			observe(1, List.of(RUN, OTHER_RUN, ORPHAN), List.of());
			this.supervisor.probeAnswered(
					Optional.of(new RunInventory(sentMillis, 1, List.of(RUN, OTHER_RUN), List.of())), this.nowMillis);
			Assert.assertEquals(state(), EndpointState.SILENT);
			this.nowMillis += 10;
			observe(1, List.of(RUN, OTHER_RUN), List.of());
			Assert.assertEquals(state(), EndpointState.READY);
		}

	}

	/**
	 * Decisions to renew, between which and the call the agent may stand still.
	 */
	public static class Decisions extends TwoEntriesFixture {

		// Guards against a start or a renewal that counts its lease from the call.
		@Test
		void countTheLeaseFromTheDecision() {
			runTasksOfTwoEntries();
			order("t2");
			Assert.assertEquals(this.driver.leaseUntilMillis, this.nowMillis + LeaseTimes.ENDPOINT_LEASE_MILLIS);
			observe(1, List.of(RUN, OTHER_RUN), List.of());
			Assert.assertEquals(this.driver.leaseUntilMillis, this.nowMillis + LeaseTimes.ENDPOINT_LEASE_MILLIS);
		}

		// Guards against a trace that does not show why an endpoint's lease lapsed.
		@Test
		void toWithholdAndToResumeAreLoggedOnce() {
			runTasksOfTwoEntries();
			passWithBothRunsListed(1_000);
			List<String> lines = logLinesWith("renewal=withheld");
			Assert.assertEquals(lines.size(), 1, lines.toString());
			Assert.assertTrue(lines.get(0).contains("endpoint=endpoint-1 run=t1#1 entry=entry-1 overdue_ms="),
					lines.get(0));
			observe(1, List.of(OTHER_RUN), List.of(new EndedRun(1, "t1", 1, RunEnd.STOPPED)));
			this.supervisor.tick(this.nowMillis);
			Assert.assertEquals(logLinesWith("renewal=resumed endpoint=endpoint-1 withheld_ms=").size(), 1);
		}

	}

}
