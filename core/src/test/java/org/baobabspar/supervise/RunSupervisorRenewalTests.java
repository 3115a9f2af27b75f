package org.baobabspar.supervise;

import java.util.List;

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
			this.supervisor.granted(OTHER_LINK, new LeaseGrant(this.nowMillis, 0));
		}

		RunKey orderOther(String task) {
			RunKey key = new RunKey("other-job", task, 1);
			this.supervisor.start(OTHER_LINK,
					new RunStart(++this.lastStartSequence, key, "payload", CORE, 100, this.nowMillis), this.nowMillis);
			return key;
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

	}

}
