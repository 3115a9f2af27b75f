package org.baobabspar.supervise;

import java.util.List;
import java.util.Optional;

import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.baobabspar.message.LeaseGrant;
import org.baobabspar.message.RunStart;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of {@link RunSupervisor} on a VM that was suspended, which its monotonic clock
 * does not count.
 */
public class SuspensionTests extends SupervisorFixture {

	private static final long ENDPOINT_LEAD_MILLIS = 700_000;

	private static final long SUSPENDED_MILLIS = 2_400;

	@BeforeMethod
	void run() {
		attach(1);
		link();
		running("t1");
		this.supervisor.observeEndpointClock(this.nowMillis, this.nowMillis + ENDPOINT_LEAD_MILLIS, this.nowMillis);
	}

	private void resume() {
		this.nowMillis += 5;
		this.supervisor.observeEndpointClock(this.nowMillis, this.nowMillis + ENDPOINT_LEAD_MILLIS + SUSPENDED_MILLIS,
				this.nowMillis);
	}

	// Guards against runs that go on after the entry has started them elsewhere.
	@Test
	void suspensionStopsTheRuns() {
		resume();
		advance(1);
		Assert.assertEquals(this.driver.stops, List.of("t1#1"));
	}

	// Guards against a start that waited in a buffer during the suspension.
	@Test
	void orderFromBeforeIsRefused() {
		long requestMillis = this.nowMillis;
		resume();
		this.nowMillis += 5;
		grant();
		this.supervisor.start(LINK, new RunStart(++this.lastStartSequence, new RunKey("job-2", "t2", 1), "payload",
				CORE, 100, requestMillis), this.nowMillis);
		Assert.assertEquals(ends(), List.of(RunEnd.REFUSED));
	}

	// Guards against a grant that waited in a buffer during the suspension.
	@Test
	void grantFromBeforeDoesNotCount() {
		long requestMillis = this.nowMillis;
		resume();
		this.supervisor.granted(LINK, new LeaseGrant(requestMillis, 0, 0), this.nowMillis);
		advance(1);
		Assert.assertEquals(this.driver.stops, List.of("t1#1"));
	}

	@Test
	void grantFromAfterwardsCounts() {
		resume();
		this.nowMillis += 5;
		grant();
		RunKey run = order("t2");
		Assert.assertTrue(this.driver.starts.contains(run));
	}

	@Test
	void slowAnswerOfTheEndpointStopsNothing() {
		this.nowMillis += 90;
		this.supervisor.observeEndpointClock(this.nowMillis - 80, this.nowMillis + ENDPOINT_LEAD_MILLIS - 80,
				this.nowMillis);
		this.supervisor.observeEndpointClock(this.nowMillis, this.nowMillis + ENDPOINT_LEAD_MILLIS, this.nowMillis);
		advance(1);
		Assert.assertTrue(this.driver.stops.isEmpty(), this.driver.stops.toString());
	}

	/**
	 * The time of day gains on the monotonic clock, since the VM was suspended or since
	 * it was set ahead.
	 */
	public static class TimeOfDayGains extends SupervisorFixture {

		private static final long TIME_OF_DAY_LEAD_MILLIS = 1_700_000_000_000L;

		@BeforeMethod
		void gain() {
			attach(1);
			link();
			running("t1");
			this.supervisor.observeTimeOfDay(TIME_OF_DAY_LEAD_MILLIS + this.nowMillis, this.nowMillis);
			this.nowMillis += 5;
			this.supervisor.observeTimeOfDay(TIME_OF_DAY_LEAD_MILLIS + this.nowMillis + SUSPENDED_MILLIS,
					this.nowMillis);
		}

		private void answerProbe() {
			this.nowMillis += 2;
			this.supervisor.probeAnswered(
					Optional
						.of(new RunInventory(this.nowMillis - 2, 1, List.of(new PresentRun("t1", 1, 10)), List.of())),
					this.nowMillis);
		}

		// Guards against a start that reaches an endpoint which was born again meanwhile.
		@Test
		void startIsRefusedUntilTheEndpointHasAnswered() {
			order("t2");
			Assert.assertEquals(ends(), List.of(RunEnd.REFUSED));
			Assert.assertEquals(this.driver.probes, 1);
		}

		@Test
		void startsResumeWithTheAnswer() {
			answerProbe();
			RunKey run = order("t2");
			Assert.assertTrue(this.driver.starts.contains(run));
		}

		// Guards against an answer that was sent before the suspension.
		@Test
		void answerToAnEarlierProbeCountsForNothing() {
			answerProbe();
			this.supervisor.startAnswered(order("t3"), StartAnswer.UNKNOWN, this.nowMillis);
			this.supervisor.observeTimeOfDay(TIME_OF_DAY_LEAD_MILLIS + this.nowMillis + 2 * SUSPENDED_MILLIS,
					this.nowMillis);
			answerProbe();
			this.sent.clear();
			order("t2");
			Assert.assertEquals(ends(), List.of(RunEnd.REFUSED));
			Assert.assertEquals(this.driver.probes, 3);
		}

		// Guards against an endless series of probes to an endpoint that is down.
		@Test
		void probeWithoutAnswerIsRepeatedWithTheNextTick() {
			this.supervisor.probeAnswered(Optional.empty(), this.nowMillis);
			Assert.assertEquals(this.driver.probes, 1);
			advance(1);
			Assert.assertEquals(this.driver.probes, 2);
		}

		// Guards against runs that are given up since the time of day was set ahead.
		@Test
		void leasesAndRunsAreKept() {
			advance(1);
			Assert.assertTrue(this.driver.stops.isEmpty(), this.driver.stops.toString());
			answerProbe();
			advance(1);
			Assert.assertTrue(this.driver.stops.isEmpty(), this.driver.stops.toString());
			Assert.assertTrue(ends().isEmpty());
		}

		@Test
		void timeOfDayThatIsSetBackRefusesNothing() {
			answerProbe();
			this.supervisor.observeTimeOfDay(TIME_OF_DAY_LEAD_MILLIS + this.nowMillis - SUSPENDED_MILLIS,
					this.nowMillis);
			RunKey run = order("t2");
			Assert.assertTrue(this.driver.starts.contains(run));
		}

	}

	/**
	 * The endpoint has also been born again during the suspension, with a new clock, and
	 * a report or an answer of the new incarnation is read first.
	 */
	public static class EndpointBornAgainMeanwhile extends SupervisorFixture {

		private long requestMillis;

		@BeforeMethod
		void resume() {
			attach(1);
			link();
			this.supervisor.observeEndpointClock(this.nowMillis, this.nowMillis + ENDPOINT_LEAD_MILLIS, this.nowMillis);
			this.nowMillis += 20;
			grant();
			this.requestMillis = this.nowMillis;
			this.nowMillis += 5;
			report("endpoint-1", 2, 1);
			this.nowMillis += 5;
			this.supervisor.observeEndpointClock(this.nowMillis, 900, this.nowMillis);
			observe(2, List.of(), List.of());
			this.nowMillis += 5;
		}

		// Guards against a start that waited in a buffer during the suspension, while the
		// entry has counted the agent as lost and started the task elsewhere.
		@Test
		void orderFromBeforeIsRefused() {
			this.supervisor.start(LINK, new RunStart(++this.lastStartSequence, new RunKey("job-2", "t2", 1), "payload",
					CORE, 100, this.requestMillis), this.nowMillis);
			Assert.assertTrue(this.driver.starts.isEmpty(), this.driver.starts.toString());
			Assert.assertEquals(ends(), List.of(RunEnd.REFUSED));
		}

		@Test
		void orderFromAfterwardsCounts() {
			grant();
			RunKey run = order("t2");
			Assert.assertTrue(this.driver.starts.contains(run));
		}

	}

}
