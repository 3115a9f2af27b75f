package org.baobabspar.fleet;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of {@link CancelledJobs}.
 */
public class CancelledJobsTests {

	private CancelledJobs jobs;

	@BeforeMethod
	void createJobs() {
		this.jobs = new CancelledJobs();
	}

	// Guards against processes that keep telling each other of a job for ever.
	@Test
	void ageCountsFromTheCancellationNotFromTheNotice() {
		this.jobs.add(new CancelledJob("a", RecentJobs.RETENTION_MILLIS - 1_000), 10_000);
		Assert.assertEquals(this.jobs.all(10_500).get(0).ageMillis(), RecentJobs.RETENTION_MILLIS - 500);
		Assert.assertTrue(this.jobs.all(11_001).isEmpty());
		Assert.assertFalse(this.jobs.contains("a"));
		Assert.assertFalse(this.jobs.add(new CancelledJob("b", RecentJobs.RETENTION_MILLIS + 1), 11_001));
	}

	@Test
	void jobIsNewOnlyOnce() {
		Assert.assertTrue(this.jobs.add(new CancelledJob("a", 0), 1_000));
		Assert.assertFalse(this.jobs.add(new CancelledJob("a", 0), 2_000));
		Assert.assertEquals(this.jobs.all(3_000).get(0).ageMillis(), 2_000);
	}

	@Test
	void firstJobsGoFirstIfThereAreTooMany() {
		for (int i = 0; i <= RecentJobs.MAX_JOBS; i++) {
			this.jobs.add(new CancelledJob("job-" + i, 0), 1_000);
		}
		Assert.assertFalse(this.jobs.contains("job-0"));
		Assert.assertTrue(this.jobs.contains("job-1"));
		Assert.assertEquals(this.jobs.all(1_000).size(), RecentJobs.MAX_JOBS);
	}

}
