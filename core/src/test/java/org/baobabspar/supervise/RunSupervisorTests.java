package org.baobabspar.supervise;

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
 * Starts, rooms, leases and ends of runs at a {@link RunSupervisor}.
 */
public class RunSupervisorTests {

	/**
	 * Starts.
	 */
	public static class Starts extends SupervisorFixture {

		@Test
		void startsWhileTheLeaseHolds() {
			attach(1);
			link();
			order("t1");
			Assert.assertEquals(this.driver.starts.size(), 1);
		}

		@Test
		void refusesWithoutALease() {
			attach(1);
			link();
			pass(LeaseTimes.ENTRY_LEASE_MILLIS + 1);
			observe(1, List.of(), List.of());
			order("t1");
			Assert.assertTrue(this.driver.starts.isEmpty());
			Assert.assertEquals(ends(), List.of(RunEnd.REFUSED));
		}

		@Test
		void refusesAStartThatWasHeldUp() {
			attach(1);
			link();
			RunStart late = new RunStart(1, new RunKey("job", "t1", 1), "payload", CORE, 100,
					this.nowMillis - LeaseTimes.ENTRY_LEASE_MILLIS - 1);
			this.supervisor.start(LINK, late, this.nowMillis);
			Assert.assertTrue(this.driver.starts.isEmpty());
		}

		@Test
		void refusesWhatDoesNotFit() {
			attach(1);
			link();
			for (int i = 0; i < 5; i++) {
				order("t" + i);
			}
			Assert.assertEquals(this.driver.starts.size(), 4);
			Assert.assertEquals(ends(), List.of(RunEnd.REFUSED));
		}

		@Test
		void refusesAJobThatAnotherEntryHasHere() {
			attach(1);
			link();
			running("t1");
			this.supervisor.welcomed("entry-2", new EntryWelcome("entry-2", 8, 0, 0), this.nowMillis);
			this.supervisor.granted("entry-2", new LeaseGrant(this.nowMillis, 0));
			this.supervisor.start("entry-2",
					new RunStart(1, new RunKey("job", "t2", 1), "payload", CORE, 100, this.nowMillis), this.nowMillis);
			Assert.assertEquals(this.driver.starts.size(), 1);
		}

		@Test
		void startsNothingOnADrainingEndpoint() {
			attach(1);
			link();
			this.supervisor.report(new EndpointReport("endpoint-1", 1, 2, "service", CORE.times(4), List.of(), true),
					this.nowMillis);
			order("t1");
			Assert.assertTrue(this.driver.starts.isEmpty());
		}

	}

	/**
	 * Room.
	 */
	public static class Rooms extends SupervisorFixture {

		@Test
		void isTakenUntilTheEndIsListed() {
			attach(1);
			link();
			RunKey run = running("t1");
			this.supervisor.stop(LINK, run, this.nowMillis);
			this.supervisor.stopConfirmed("t1", 1, this.nowMillis);
			Assert.assertEquals(this.supervisor.status(0, this.nowMillis).free(), CORE.times(3));
			observe(1, List.of(), List.of(new EndedRun(1, "t1", 1, RunEnd.STOPPED)));
			Assert.assertEquals(this.supervisor.status(0, this.nowMillis).free(), CORE.times(4));
		}

		@Test
		void isUnknownWhileUnknownRunsArePresent() {
			this.supervisor.report(new EndpointReport("endpoint-1", 1, 1, "service", CORE.times(4), List.of(), false),
					this.nowMillis);
			observe(1, List.of(new PresentRun("old", 3, 0)), List.of());
			Assert.assertEquals(state(), EndpointState.SILENT);
			Assert.assertEquals(this.driver.stops, List.of("old#3"));
			observe(1, List.of(), List.of());
			Assert.assertEquals(state(), EndpointState.READY);
		}

	}

	/**
	 * Starts without an answer, which may be carried out seconds later.
	 */
	public static class UnansweredStarts extends SupervisorFixture {

		@Test
		void goOnIfTheEndpointListsThem() {
			attach(1);
			link();
			RunKey run = order("t1");
			this.supervisor.startAnswered(run, StartAnswer.UNKNOWN, this.nowMillis);
			Assert.assertEquals(this.driver.probes, 1);
			this.supervisor.probeAnswered(
					Optional.of(new RunInventory(this.nowMillis, 1, List.of(new PresentRun("t1", 1, 10)), List.of())),
					this.nowMillis);
			Assert.assertTrue(this.driver.stops.isEmpty());
			Assert.assertTrue(ends().isEmpty());
		}

		@Test
		void areStoppedBeforeTheyAreGivenBack() {
			attach(1);
			link();
			RunKey run = order("t1");
			this.supervisor.startAnswered(run, StartAnswer.UNKNOWN, this.nowMillis);
			pass(10);
			observe(1, List.of(), List.of());
			Assert.assertEquals(this.driver.stops, List.of("t1#1"));
			observe(1, List.of(), List.of());
			Assert.assertTrue(ends().isEmpty());
			pass(10);
			this.supervisor.stopConfirmed("t1", 1, this.nowMillis);
			pass(10);
			observe(1, List.of(), List.of());
			Assert.assertEquals(ends(), List.of(RunEnd.NUMBER_USED));
		}

		@Test
		void areStoppedAgainIfTheStopGetsNoAnswer() {
			attach(1);
			link();
			RunKey run = order("t1");
			this.supervisor.startAnswered(run, StartAnswer.UNKNOWN, this.nowMillis);
			observe(1, List.of(), List.of());
			pass(100);
			Assert.assertEquals(this.driver.stops, List.of("t1#1", "t1#1"));
		}

	}

	/**
	 * Leases.
	 */
	public static class Leases extends SupervisorFixture {

		@Test
		void stopRunsOfAnEntryThatIsNotHeard() {
			attach(1);
			link();
			running("t1");
			pass(LeaseTimes.ENTRY_LEASE_MILLIS);
			Assert.assertEquals(this.driver.stops, List.of("t1#1"));
		}

		@Test
		void countFromTheRequestNotFromTheGrant() {
			attach(1);
			link();
			running("t1");
			long asked = this.nowMillis;
			pass(LeaseTimes.ENTRY_LEASE_MILLIS - 10);
			this.supervisor.granted(LINK, new LeaseGrant(asked, 0));
			pass(10);
			Assert.assertEquals(this.driver.stops, List.of("t1#1"));
		}

		@Test
		void outliveABrokenLink() {
			attach(1);
			link();
			running("t1");
			this.supervisor.unlinked(LINK);
			pass(100);
			link();
			pass(LeaseTimes.ENTRY_LEASE_MILLIS - 10);
			Assert.assertTrue(this.driver.stops.isEmpty());
		}

		@Test
		void areNotRenewedAtAnEndpointThatDoesNotAnswer() {
			attach(1);
			link();
			running("t1");
			observe(1, List.of(new PresentRun("t1", 1, 0)), List.of());
			Assert.assertEquals(this.driver.lastLease, LeaseTimes.ENDPOINT_LEASE_MILLIS);
			this.supervisor.pollFailed(this.nowMillis);
			pass(30);
			Assert.assertEquals(this.driver.lastLease, 0);
		}

		@Test
		void endAllRunsAtASilentEndpointOnlyWhenTheyHaveLapsed() {
			attach(1);
			link();
			running("t1");
			long last = this.nowMillis;
			while (this.nowMillis <= last + LeaseTimes.ENDPOINT_EXPIRY_MILLIS) {
				Assert.assertTrue(ends().isEmpty());
				grant();
				this.supervisor.pollFailed(this.nowMillis);
				pass(20);
			}
			Assert.assertEquals(ends(), List.of(RunEnd.LOST));
		}

		@Test
		void leaveTimeForBothBeforeAnEntryStartsElsewhere() {
			Assert.assertTrue(LeaseTimes.LOSS_MILLIS > LeaseTimes.ENTRY_LEASE_MILLIS
					+ LeaseTimes.ENDPOINT_LEASE_MILLIS * LeaseTimes.CLOCK_DRIFT_FACTOR + LeaseTimes.MAX_STOP_MILLIS);
			Assert.assertTrue(LeaseTimes.LOSS_MILLIS < 1_300);
		}

	}

	/**
	 * Ends.
	 */
	public static class Ends extends SupervisorFixture {

		@Test
		void areSentAgainOnANewLinkUntilConfirmed() {
			attach(1);
			link();
			running("t1");
			this.supervisor.unlinked(LINK);
			observe(1, List.of(), List.of(new EndedRun(1, "t1", 1, RunEnd.DONE)));
			Assert.assertTrue(ends().isEmpty());
			link();
			Assert.assertEquals(ends(), List.of(RunEnd.DONE));
			this.supervisor.granted(LINK, new LeaseGrant(this.nowMillis, 1));
			this.supervisor.unlinked(LINK);
			this.sent.clear();
			link();
			Assert.assertTrue(ends().isEmpty());
		}

		@Test
		void comeOnceThoughTheEndpointListsThemTwice() {
			attach(1);
			link();
			running("t1");
			observe(1, List.of(), List.of(new EndedRun(1, "t1", 1, RunEnd.DONE)));
			observe(1, List.of(), List.of(new EndedRun(1, "t1", 1, RunEnd.DONE)));
			Assert.assertEquals(ends(), List.of(RunEnd.DONE));
		}

	}

	/**
	 * Endpoints that answer late or not at all.
	 */
	public static class Silence extends SupervisorFixture {

		@Test
		void isNotTheWaitOfAnIdleLook() {
			attach(1);
			pass(this.driver.lastWait + 200);
			Assert.assertEquals(state(), EndpointState.READY);
			observe(1, List.of(), List.of());
			Assert.assertEquals(state(), EndpointState.READY);
		}

		@Test
		void isAnAnswerThatIsOverdue() {
			attach(1);
			pass(this.driver.lastWait + 300);
			Assert.assertEquals(state(), EndpointState.SILENT);
			observe(1, List.of(), List.of());
			Assert.assertEquals(state(), EndpointState.READY);
		}

	}

	/**
	 * Endpoints whose runs fail or stand still.
	 */
	public static class BadEndpoints extends SupervisorFixture {

		@Test
		void areSetAsideAfterFailuresOfTwoJobs() {
			attach(1);
			link();
			for (int i = 1; i <= 2; i++) {
				RunKey run = new RunKey("job" + i, "t" + i, 1);
				this.supervisor.start(LINK, new RunStart(i, run, "", CORE, 100, this.nowMillis), this.nowMillis);
				this.supervisor.startAnswered(run, StartAnswer.STARTED, this.nowMillis);
				Assert.assertEquals(state(), EndpointState.READY);
				observe(1, List.of(), List.of(new EndedRun(i, "t" + i, 1, RunEnd.FAILED)));
			}
			Assert.assertEquals(state(), EndpointState.SUSPECT);
		}

		@Test
		void loseRunsThatMakeNoProgress() {
			attach(1);
			link();
			running("t1");
			for (int i = 0; i < 20; i++) {
				observe(1, List.of(new PresentRun("t1", 1, 5)), List.of());
				grant();
				pass(50);
			}
			Assert.assertFalse(this.driver.stops.isEmpty());
		}

	}

}
