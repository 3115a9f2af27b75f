package org.baobabspar.dispatch;

import java.util.List;

import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.RunKey;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of {@link Dispatcher} with a flood that passes while jobs wait that can no longer
 * meet their objective. An answer within three times the objective is still of use, so
 * these jobs are neither refused at once nor put before jobs that can be in time.
 */
public class PassingFloodTests extends DispatcherFixture {

	@BeforeMethod
	void flood() {
		linkAgent("a", 8, 1);
		submit(createJob("flood", 8, 100));
		submit(createJob("late", 2, 100));
		this.nowMillis += 300;
	}

	private void endRuns(int count) {
		List<RunKey> runs = startedRuns("a");
		for (int i = 0; i < count; i++) {
			endRun("a", runs.get(i), RunEnd.DONE);
		}
		reportRoom("a", count, runs.size());
	}

	// Guards against a refusal although there is room shortly after.
	@Test
	void lateJobIsServedOnceTheFloodHasPassed() {
		this.dispatcher.place(this.nowMillis);
		Assert.assertTrue(outcomes().isEmpty());
		endRuns(8);
		Assert.assertEquals(startedRuns("a").get(8).jobId(), "late");
	}

	// Guards against late jobs that make others late.
	@Test
	void jobThatCanBeInTimeGoesFirst() {
		submit(createJob("soon", 6, 100));
		endRuns(8);
		Assert.assertEquals(startedRuns("a").get(8).jobId(), "soon");
	}

	@Test
	void lateJobWaitsWhileMostOfTheRoomIsTaken() {
		endRuns(2);
		Assert.assertEquals(startedRuns("a").size(), 8);
		Assert.assertTrue(outcomes().isEmpty());
	}

	// Guards against callers that wait for an answer that can't be of use any more.
	@Test
	void lateJobIsRefusedOnceItsAnswerWouldBeOfNoUse() {
		this.nowMillis += 249;
		reportRoom("a", 0, 8);
		Assert.assertEquals(outcomes(), List.of(JobOutcome.REFUSED));
	}

}
