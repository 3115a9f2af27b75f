package org.baobabspar.dispatch;

import java.util.List;

import org.baobabspar.fleet.JobSubmission;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.fleet.Step;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of {@link Dispatcher} with more jobs than the endpoints have room for, most of
 * which wait through many placement passes. Guards against a pass that decides for one
 * job what holds only for another.
 */
public class FloodOfWaitingJobsTests extends DispatcherFixture {

	private static JobSubmission createJob(String id, int tasks, int cores) {
		return new JobSubmission(id, "payload", List.of(new Step(tasks, CORE.times(cores), 100, List.of(), "", "", 0)));
	}

	private void flood(int jobs, int tasks, int cores) {
		for (int i = 0; i < jobs; i++) {
			submit(createJob("flood-" + i, tasks, cores));
		}
	}

	// Guards against a job that waits since a larger one found no room.
	@Test
	void smallJobIsPlacedBehindLargeOnesThatFindNoRoom() {
		linkAgent("a", 2, 1);
		flood(50, 1, 4);
		submit(createJob("small", 1, 2));
		Assert.assertEquals(startedRuns("a").size(), 1);
		Assert.assertEquals(startedRuns("a").get(0).jobId(), "small");
	}

	// Guards against a job that waits since another one would have filled the room.
	@Test
	void roomOfAJobThatCannotStartWholeIsLeftToTheNext() {
		linkAgent("a", 2, 1);
		linkAgent("b", 0, 1);
		linkAgent("c", 0, 1);
		flood(50, 3, 1);
		submit(createJob("narrow", 2, 1));
		Assert.assertEquals(startedRuns("a").stream().map((run) -> run.jobId()).distinct().toList(), List.of("narrow"));
	}

	// Guards against jobs that never start once the room is free again.
	@Test
	void waitingJobsStartInTurnAsRoomBecomesFree() {
		linkAgent("a", 8, 1);
		flood(20, 1, 4);
		Assert.assertEquals(startedRuns("a").size(), 2);
		for (int i = 2; i < 6; i++) {
			this.nowMillis += 5;
			endRun("a", startedRuns("a").get(i - 2), RunEnd.DONE);
			reportRoom("a", 4, startedRuns("a").size());
			Assert.assertEquals(startedRuns("a").size(), i + 1);
		}
	}

}
