package org.baobabspar.supervise;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.baobabspar.fleet.EndpointState;
import org.baobabspar.fleet.Room;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.baobabspar.message.EntryWelcome;
import org.baobabspar.message.LeaseGrant;
import org.baobabspar.message.LeaseRequest;
import org.baobabspar.message.Message;
import org.baobabspar.message.RunEnded;
import org.baobabspar.message.RunStart;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of {@link RunSupervisor} with a clock and an endpoint under control.
 */
public class RunSupervisorTests {

	private static final String LINK = "entry-1";

	private static final Room CORE = new Room(1_000, 64, 0);

	long nowMillis;

	RecordingDriver driver;

	List<Message> sent;

	RunSupervisor supervisor;

	long sequence;

	@BeforeMethod
	void create() {
		this.nowMillis = 10_000;
		this.driver = new RecordingDriver();
		this.sent = new ArrayList<>();
		this.sequence = 0;
		this.supervisor = new RunSupervisor("agent-1", 1, "domain-1", 100, this.driver, (link, m) -> this.sent.add(m),
				(line) -> {
				});
	}

	void attach(long born) {
		this.supervisor.report(new EndpointReport("endpoint-1", born, 1, "service", CORE.times(4), List.of(), false),
				this.nowMillis);
		observe(born, List.of(), List.of());
	}

	void link() {
		this.supervisor.welcomed(LINK, new EntryWelcome("entry-1", 7, 0, 0), this.nowMillis);
		grant();
	}

	void grant() {
		this.supervisor.granted(LINK, new LeaseGrant(this.nowMillis, 0));
	}

	RunKey order(String task) {
		RunKey run = new RunKey("job", task, 1);
		this.supervisor.start(LINK, new RunStart(++this.sequence, run, "payload", CORE, 100, this.nowMillis),
				this.nowMillis);
		return run;
	}

	RunKey running(String task) {
		RunKey run = order(task);
		this.supervisor.startAnswered(run, StartAnswer.STARTED, this.nowMillis);
		return run;
	}

	void observe(long born, List<PresentRun> present, List<EndedRun> ended) {
		this.supervisor.observed(new Observation(this.nowMillis, born, present, ended), this.nowMillis);
	}

	void pass(long millis) {
		this.nowMillis += millis;
		this.supervisor.tick(this.nowMillis);
	}

	static EndpointMemo memo(double speed) {
		return new EndpointMemo(new EndpointReport("endpoint-1", 5, 0, "service", CORE.times(4), List.of(), false),
				speed);
	}

	List<RunEnd> ends() {
		return this.sent.stream().filter(RunEnded.class::isInstance).map((m) -> ((RunEnded) m).end()).toList();
	}

	EndpointState state() {
		return this.supervisor.status(0, this.nowMillis).state();
	}

	static final class RecordingDriver implements EndpointDriver {

		private final List<RunKey> starts = new ArrayList<>();

		private final List<String> stops = new ArrayList<>();

		private long lastLease = -1;

		private long lastFence;

		private int probes;

		@Override
		public void attach(EndpointReport report) {
		}

		@Override
		public void start(RunKey run, String payload, long leaseMillis, long fence) {
			this.starts.add(run);
			this.lastFence = fence;
		}

		@Override
		public void stop(String task, long number, long fence) {
			this.stops.add(task + "#" + number);
		}

		@Override
		public void look(long leaseMillis, long confirmed, long waitMillis, long fence) {
			this.lastLease = leaseMillis;
			this.lastFence = fence;
		}

		@Override
		public void probe(long confirmed, long fence) {
			this.probes++;
		}

	}

	/**
	 * Starts.
	 */
	public static class Starts extends RunSupervisorTests {

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
	public static class Rooms extends RunSupervisorTests {

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
	public static class UnansweredStarts extends RunSupervisorTests {

		@Test
		void goOnIfTheEndpointListsThem() {
			attach(1);
			link();
			RunKey run = order("t1");
			this.supervisor.startAnswered(run, StartAnswer.UNKNOWN, this.nowMillis);
			Assert.assertEquals(this.driver.probes, 1);
			this.supervisor.probed(
					Optional.of(new Observation(this.nowMillis, 1, List.of(new PresentRun("t1", 1, 10)), List.of())),
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
	public static class Leases extends RunSupervisorTests {

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
			this.supervisor.lookFailed(this.nowMillis);
			pass(30);
			Assert.assertEquals(this.driver.lastLease, 0);
		}

		@Test
		void endAllRunsAtASilentEndpointOnlyWhenTheyHaveLapsed() {
			attach(1);
			link();
			running("t1");
			long last = this.nowMillis;
			while (this.nowMillis <= last + LeaseTimes.ENDPOINT_LAPSE_MILLIS) {
				Assert.assertTrue(ends().isEmpty());
				grant();
				this.supervisor.lookFailed(this.nowMillis);
				pass(20);
			}
			Assert.assertEquals(ends(), List.of(RunEnd.LOST));
		}

		@Test
		void leaveTimeForBothBeforeAnEntryStartsElsewhere() {
			Assert.assertTrue(LeaseTimes.LOSS_MILLIS > LeaseTimes.ENTRY_LEASE_MILLIS
					+ LeaseTimes.ENDPOINT_LEASE_MILLIS * LeaseTimes.DRIFT + LeaseTimes.STOP_MILLIS);
			Assert.assertTrue(LeaseTimes.LOSS_MILLIS < 1_300);
		}

	}

	/**
	 * Entries.
	 */
	public static class Entries extends RunSupervisorTests {

		@Test
		void thatStartedInTheSameMillisecondAreKeptApart() {
			attach(1);
			link();
			this.supervisor.welcomed("entry-2", new EntryWelcome("entry-2", 7, 0, 0), this.nowMillis);
			running("t1");
			Assert.assertEquals(this.driver.starts.size(), 1);
			List<String> links = new ArrayList<>();
			RunSupervisor s = new RunSupervisor("agent-1", 1, "domain-1", 100, this.driver,
					(link, m) -> links.add(link), (line) -> {
					});
			s.welcomed(LINK, new EntryWelcome("entry-1", 7, 0, 0), this.nowMillis);
			s.welcomed("entry-2", new EntryWelcome("entry-2", 7, 0, 0), this.nowMillis);
			links.clear();
			s.flush(this.nowMillis + 100);
			Assert.assertEquals(links.stream().sorted().toList(), List.of(LINK, "entry-2"));
		}

	}

	/**
	 * Lifetimes of the endpoint.
	 */
	public static class Lifetimes extends RunSupervisorTests {

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
			this.supervisor.remember(memo(1), this.nowMillis);
			Assert.assertEquals(state(), EndpointState.SILENT);
			observe(4, List.of(), List.of());
			Assert.assertEquals(state(), EndpointState.SILENT);
			observe(5, List.of(), List.of());
			Assert.assertEquals(state(), EndpointState.READY);
		}

		@Test
		void aRememberedOneThatHasNotAnsweredGivesWayToAReport() {
			this.supervisor.remember(memo(1), this.nowMillis);
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
	 * Ends.
	 */
	public static class Ends extends RunSupervisorTests {

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
	 * Endpoints whose runs fail or stand still.
	 */
	public static class BadEndpoints extends RunSupervisorTests {

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

	/**
	 * Messages.
	 */
	public static class Requests extends RunSupervisorTests {

		private long requests() {
			long count = this.sent.stream().filter(LeaseRequest.class::isInstance).count();
			this.sent.clear();
			return count;
		}

		@Test
		void changesThatComeTogetherAreSentOnce() {
			attach(1);
			link();
			this.supervisor.flush(this.nowMillis);
			requests();
			order("t1");
			this.supervisor.flush(this.nowMillis);
			order("t2");
			this.supervisor.flush(this.nowMillis);
			Assert.assertEquals(requests(), 0);
			pass(Owners.STATUS_MILLIS);
			this.supervisor.flush(this.nowMillis);
			this.supervisor.flush(this.nowMillis);
			Assert.assertEquals(requests(), 1);
		}

		@Test
		void theOwnerOfARunLearnsOfItsRoomAtOnce() {
			attach(1);
			link();
			running("t1");
			this.supervisor.flush(this.nowMillis);
			requests();
			observe(1, List.of(), List.of(new EndedRun(1, "t1", 1, RunEnd.DONE)));
			this.supervisor.flush(this.nowMillis);
			Assert.assertEquals(requests(), 1);
		}

		@Test
		void aLeaseIsAskedForWhileNothingChanges() {
			attach(1);
			link();
			this.supervisor.flush(this.nowMillis);
			requests();
			pass(Owners.REQUEST_MILLIS);
			this.supervisor.flush(this.nowMillis);
			Assert.assertEquals(requests(), 1);
		}

	}

	/**
	 * An endpoint that takes no connections.
	 */
	public static class Unreachable extends RunSupervisorTests {

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
			this.supervisor.lookFailed(this.nowMillis);
			grant();
			pass(LeaseTimes.ENTRY_LEASE_MILLIS - 10);
			Assert.assertEquals(ends(), List.of());
		}

	}

	/**
	 * What is stored of an endpoint.
	 */
	public static class Memos extends RunSupervisorTests {

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
			Assert.assertEquals(this.supervisor.memo(this.nowMillis).orElseThrow().report().bornMillis(), 1);
			Assert.assertTrue(this.supervisor.memo(this.nowMillis).isEmpty());
		}

		@Test
		void itsSpeedIsStoredOnceItIsKnown() {
			attach(1);
			link();
			this.supervisor.memo(this.nowMillis);
			runs(40, 200);
			Assert.assertEquals(this.supervisor.memo(this.nowMillis).orElseThrow().usualSpeed(), 0.5, 0.05);
			Assert.assertTrue(this.supervisor.memo(this.nowMillis).isEmpty());
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
			this.supervisor.remember(memo(0.5), this.nowMillis);
			attach(7);
			Assert.assertEquals(this.supervisor.status(0, this.nowMillis).speed(), 0.5, 0.001);
		}

		@Test
		void aSpeedThatArrivesAfterTheReportCounts() {
			attach(7);
			this.supervisor.remember(memo(0.5), this.nowMillis);
			Assert.assertEquals(this.supervisor.status(0, this.nowMillis).speed(), 0.5, 0.001);
		}

	}

	/**
	 * Links that are no longer wanted.
	 */
	public static class Retiring extends RunSupervisorTests {

		@Test
		void takesNoNewRunsAndLetsTheOthersEnd() {
			attach(1);
			link();
			running("t1");
			this.supervisor.retire(LINK);
			order("t2");
			Assert.assertEquals(ends(), List.of(RunEnd.REFUSED));
			Assert.assertFalse(this.supervisor.unused(LINK));
			observe(1, List.of(), List.of(new EndedRun(1, "t1", 1, RunEnd.DONE)));
			Assert.assertEquals(ends(), List.of(RunEnd.REFUSED, RunEnd.DONE));
			Assert.assertTrue(this.supervisor.unused(LINK));
		}

		@Test
		void tellsItsEntryAtOnce() {
			attach(1);
			link();
			this.supervisor.flush(this.nowMillis);
			this.sent.clear();
			this.supervisor.retire(LINK);
			this.supervisor.flush(this.nowMillis);
			LeaseRequest r = (LeaseRequest) this.sent.get(0);
			Assert.assertEquals(r.status().state(), EndpointState.DRAINING);
		}

	}

}
