package org.baobabspar.dispatch;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of {@link Dispatcher} with tasks that take longer than predicted. The objective
 * of a job grows with its actual work, but by less than the time that the work takes on a
 * slow endpoint. Example: a task of 110 ms, at 60 ms and 1.6 times its work, is in time
 * at speed 0.5; one of 165 ms isn't.
 */
public class UnderestimatedTasksTests extends DispatcherFixture {

	// Guards against jobs that miss their objective beside idle fast endpoints.
	@Test
	void fasterEndpointIsUsedWhileThereIsRoom() {
		linkAgent("slow", 8, 0.5);
		linkAgent("fast", 8, 1);
		submit(createJob("j", 1, 110));
		Assert.assertEquals(startedRuns("fast").size(), 1);
	}

	@Test
	void taskThatIsInTimeEvenIfUnderestimatedGoesToTheSlowEndpoint() {
		linkAgent("slow", 8, 0.5);
		linkAgent("fast", 8, 1);
		submit(createJob("j", 1, 40));
		Assert.assertEquals(startedRuns("slow").size(), 1);
	}

	// Guards against long tasks that find the fast endpoints taken by short ones.
	@Test
	void fastEndpointsAreLeftToLongTasksUnderLoad() {
		linkAgent("slow", 4, 0.5);
		linkAgent("fast", 2, 1);
		submit(createJob("j", 1, 110));
		Assert.assertEquals(startedRuns("slow").size(), 1);
	}

	@Test
	void slowEndpointIsUsedIfOnlyItHasRoom() {
		linkAgent("slow", 8, 0.5);
		linkAgent("fast", 0, 1);
		submit(createJob("j", 1, 110));
		Assert.assertEquals(startedRuns("slow").size(), 1);
	}

}
