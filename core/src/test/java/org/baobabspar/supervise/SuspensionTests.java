package org.baobabspar.supervise;

import java.util.List;

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
		this.supervisor.observeEndpointClock(this.nowMillis + ENDPOINT_LEAD_MILLIS, this.nowMillis);
	}

	private void resume() {
		this.nowMillis += 5;
		this.supervisor.observeEndpointClock(this.nowMillis + ENDPOINT_LEAD_MILLIS + SUSPENDED_MILLIS, this.nowMillis);
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
		this.supervisor.granted(LINK, new LeaseGrant(requestMillis, 0));
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
		this.supervisor.observeEndpointClock(this.nowMillis + ENDPOINT_LEAD_MILLIS - 80, this.nowMillis);
		this.supervisor.observeEndpointClock(this.nowMillis + ENDPOINT_LEAD_MILLIS, this.nowMillis);
		advance(1);
		Assert.assertTrue(this.driver.stops.isEmpty(), this.driver.stops.toString());
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
			this.supervisor.observeEndpointClock(this.nowMillis + ENDPOINT_LEAD_MILLIS, this.nowMillis);
			this.nowMillis += 20;
			grant();
			this.requestMillis = this.nowMillis;
			this.nowMillis += 5;
			report("endpoint-1", 2, 1);
			this.nowMillis += 5;
			this.supervisor.observeEndpointClock(900, this.nowMillis);
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
