package org.baobabspar.supervise;

import java.util.List;

import org.baobabspar.fleet.Resources;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of {@link RunSupervisor} with starts that arrive while the endpoint is full,
 * since several entries have seen the same free room. Guards against refusals that send
 * tasks from one full endpoint to the next, and against waiting starts that begin when
 * their entry no longer counts on it.
 */
public class CollidingStartsTests extends SupervisorFixture {

	private static final int FULL_RUNS = 4;

	@BeforeMethod
	void fill() {
		attach(1);
		link();
		for (int i = 0; i < FULL_RUNS; i++) {
			running("full-" + i);
		}
		this.sent.clear();
	}

	private void endFirstRun() {
		this.nowMillis += 5;
		observe(1, List.of(present("full-1"), present("full-2"), present("full-3")),
				List.of(new EndedRun(1, "full-0", 1, RunEnd.DONE)));
		this.supervisor.flush(this.nowMillis);
	}

	private static PresentRun present(String task) {
		return new PresentRun(task, 1, 10);
	}

	@Test
	void startWaitsForTheEndOfAnotherRun() {
		RunKey run = order("late");
		Assert.assertTrue(ends().isEmpty());
		Assert.assertFalse(this.driver.starts.contains(run));
		endFirstRun();
		Assert.assertTrue(this.driver.starts.contains(run));
	}

	@Test
	void startIsRefusedWhenNoRunEnds() {
		order("late");
		advance(StartQueue.MAX_WAIT_MILLIS);
		this.supervisor.flush(this.nowMillis);
		Assert.assertEquals(ends(), List.of(RunEnd.REFUSED));
		Assert.assertEquals(this.driver.starts.size(), FULL_RUNS);
	}

	@Test
	void startsBeyondTheQueueAreRefusedAtOnce() {
		for (int i = 0; i < StartQueue.MAX_STARTS + 2; i++) {
			order("late-" + i);
		}
		Assert.assertEquals(ends(), List.of(RunEnd.REFUSED, RunEnd.REFUSED));
	}

	@Test
	void startsBeginInTheOrderOfTheirArrival() {
		RunKey first = order("first");
		RunKey second = order("second");
		endFirstRun();
		Assert.assertTrue(this.driver.starts.contains(first));
		Assert.assertFalse(this.driver.starts.contains(second));
	}

	// Guards against entries that send more starts to a full endpoint with a queue.
	@Test
	void roomOfWaitingStartsIsNotOffered() {
		order("late");
		Resources free = this.supervisor.status(this.lastStartSequence, this.nowMillis).free();
		Assert.assertEquals(free, Resources.NONE.minus(CORE));
	}

	// Guards against a run of a job that its entry has given up.
	@Test
	void stoppedStartNeverBegins() {
		RunKey run = order("late");
		this.supervisor.stop(LINK, run, this.nowMillis);
		endFirstRun();
		Assert.assertFalse(this.driver.starts.contains(run));
		Assert.assertEquals(ends().get(0), RunEnd.REFUSED);
	}

	// Guards against a run that the entry takes for lost with its link.
	@Test
	void startNeverBeginsAfterItsLinkHasEnded() {
		RunKey run = order("late");
		this.supervisor.unlinked(LINK);
		link();
		endFirstRun();
		Assert.assertFalse(this.driver.starts.contains(run));
	}

	// Guards against a run that begins when its entry may have started it elsewhere.
	@Test
	void startNeverBeginsAfterTheLeaseHasLapsed() {
		RunKey run = order("late");
		this.nowMillis += LeaseTimes.ENTRY_LEASE_MILLIS;
		this.supervisor.flush(this.nowMillis);
		endFirstRun();
		Assert.assertFalse(this.driver.starts.contains(run));
	}

	// Guards against two runs of a task when a job is handed in at another entry.
	@Test
	void secondStartOfAWaitingTaskIsRefused() {
		order("late");
		order("late");
		Assert.assertEquals(ends(), List.of(RunEnd.REFUSED));
	}

}
