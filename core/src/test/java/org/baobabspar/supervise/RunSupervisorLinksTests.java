package org.baobabspar.supervise;

import java.util.ArrayList;
import java.util.List;

import org.baobabspar.fleet.EndpointState;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.message.EntryWelcome;
import org.baobabspar.message.LeaseRequest;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of {@link RunSupervisor} with the links to entries and the messages on them.
 */
public class RunSupervisorLinksTests {

	/**
	 * Sessions of entries.
	 */
	public static class Sessions extends SupervisorFixture {

		@Test
		void ofEntriesWithTheSameIncarnationAreDistinct() {
			attach(1);
			link();
			this.supervisor.welcomed("entry-2", new EntryWelcome("entry-2", 7, 0, 0), this.nowMillis);
			running("t1");
			Assert.assertEquals(this.driver.starts.size(), 1);
			List<String> links = new ArrayList<>();
			RunSupervisor secondSupervisor = new RunSupervisor("agent-1", 1, "domain-1", 100, this.driver,
					(link, message) -> links.add(link), (line) -> {
					});
			secondSupervisor.welcomed(LINK, new EntryWelcome("entry-1", 7, 0, 0), this.nowMillis);
			secondSupervisor.welcomed("entry-2", new EntryWelcome("entry-2", 7, 0, 0), this.nowMillis);
			links.clear();
			secondSupervisor.flush(this.nowMillis + EntrySessionRegistry.IDLE_REQUEST_INTERVAL_MILLIS);
			Assert.assertEquals(links.stream().sorted().toList(), List.of(LINK, "entry-2"));
		}

	}

	/**
	 * Lease requests, which carry the status of the endpoint.
	 */
	public static class LeaseRequests extends SupervisorFixture {

		private long takeRequestCount() {
			long count = this.sent.stream().filter(LeaseRequest.class::isInstance).count();
			this.sent.clear();
			return count;
		}

		@Test
		void combineChangesWithinTheStatusInterval() {
			attach(1);
			link();
			this.supervisor.flush(this.nowMillis);
			takeRequestCount();
			order("t1");
			this.supervisor.flush(this.nowMillis);
			order("t2");
			this.supervisor.flush(this.nowMillis);
			Assert.assertEquals(takeRequestCount(), 0);
			advance(EntrySessionRegistry.STATUS_INTERVAL_MILLIS);
			this.supervisor.flush(this.nowMillis);
			this.supervisor.flush(this.nowMillis);
			Assert.assertEquals(takeRequestCount(), 1);
		}

		@Test
		void areSentAtOnceToTheOwnerOfAnEndedRun() {
			attach(1);
			link();
			running("t1");
			this.supervisor.flush(this.nowMillis);
			takeRequestCount();
			observe(1, List.of(), List.of(new EndedRun(1, "t1", 1, RunEnd.DONE)));
			this.supervisor.flush(this.nowMillis);
			Assert.assertEquals(takeRequestCount(), 1);
		}

		@Test
		void areSentAtTheRequestIntervalWhileARunIsPresent() {
			attach(1);
			link();
			running("t1");
			this.supervisor.flush(this.nowMillis);
			advance(EntrySessionRegistry.STATUS_INTERVAL_MILLIS);
			this.supervisor.flush(this.nowMillis);
			takeRequestCount();
			advance(EntrySessionRegistry.REQUEST_INTERVAL_MILLIS);
			this.supervisor.flush(this.nowMillis);
			Assert.assertEquals(takeRequestCount(), 1);
		}

		@Test
		void areSentLessOftenWhileNoRunIsPresent() {
			attach(1);
			link();
			this.supervisor.flush(this.nowMillis);
			takeRequestCount();
			advance(EntrySessionRegistry.REQUEST_INTERVAL_MILLIS);
			this.supervisor.flush(this.nowMillis);
			Assert.assertEquals(takeRequestCount(), 0);
			advance(EntrySessionRegistry.IDLE_REQUEST_INTERVAL_MILLIS - EntrySessionRegistry.REQUEST_INTERVAL_MILLIS);
			this.supervisor.flush(this.nowMillis);
			Assert.assertEquals(takeRequestCount(), 1);
		}

		@Test
		void mayBeLateWithoutAnExpiryOfTheLease() {
			Assert.assertTrue(EntrySessionRegistry.IDLE_REQUEST_INTERVAL_MILLIS + 150 <= LeaseTimes.ENTRY_LEASE_MILLIS);
		}

	}

	/**
	 * Links that are no longer wanted.
	 */
	public static class RetiringLinks extends SupervisorFixture {

		@Test
		void refuseNewRunsAndLetPresentRunsEnd() {
			attach(1);
			link();
			running("t1");
			this.supervisor.retire(LINK);
			order("t2");
			Assert.assertEquals(ends(), List.of(RunEnd.REFUSED));
			Assert.assertFalse(this.supervisor.canClose(LINK));
			observe(1, List.of(), List.of(new EndedRun(1, "t1", 1, RunEnd.DONE)));
			Assert.assertEquals(ends(), List.of(RunEnd.REFUSED, RunEnd.DONE));
			Assert.assertTrue(this.supervisor.canClose(LINK));
		}

		@Test
		void areReportedAsDrainingAtOnce() {
			attach(1);
			link();
			this.supervisor.flush(this.nowMillis);
			this.sent.clear();
			this.supervisor.retire(LINK);
			this.supervisor.flush(this.nowMillis);
			LeaseRequest request = (LeaseRequest) this.sent.get(0);
			Assert.assertEquals(request.status().state(), EndpointState.DRAINING);
		}

	}

}
