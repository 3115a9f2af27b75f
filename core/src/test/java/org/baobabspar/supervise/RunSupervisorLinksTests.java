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
 * Entries of a {@link RunSupervisor}, their links and what they are told.
 */
public class RunSupervisorLinksTests {

	/**
	 * Entries.
	 */
	public static class Entries extends SupervisorFixture {

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
			s.flush(this.nowMillis + Owners.IDLE_REQUEST_MILLIS);
			Assert.assertEquals(links.stream().sorted().toList(), List.of(LINK, "entry-2"));
		}

	}

	/**
	 * Messages.
	 */
	public static class Requests extends SupervisorFixture {

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
		void aLeaseIsAskedForWhileARunGoesOn() {
			attach(1);
			link();
			running("t1");
			this.supervisor.flush(this.nowMillis);
			pass(Owners.STATUS_MILLIS);
			this.supervisor.flush(this.nowMillis);
			requests();
			pass(Owners.REQUEST_MILLIS);
			this.supervisor.flush(this.nowMillis);
			Assert.assertEquals(requests(), 1);
		}

		@Test
		void aLeaseIsAskedForLessOftenWhileNothingRuns() {
			attach(1);
			link();
			this.supervisor.flush(this.nowMillis);
			requests();
			pass(Owners.REQUEST_MILLIS);
			this.supervisor.flush(this.nowMillis);
			Assert.assertEquals(requests(), 0);
			pass(Owners.IDLE_REQUEST_MILLIS - Owners.REQUEST_MILLIS);
			this.supervisor.flush(this.nowMillis);
			Assert.assertEquals(requests(), 1);
		}

		@Test
		void aLeaseOutlivesARequestThatIsLate() {
			Assert.assertTrue(Owners.IDLE_REQUEST_MILLIS + 150 <= LeaseTimes.ENTRY_LEASE_MILLIS);
		}

	}

	/**
	 * Links that are no longer wanted.
	 */
	public static class Retiring extends SupervisorFixture {

		@Test
		void takesNoNewRunsAndLetsTheOthersEnd() {
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
