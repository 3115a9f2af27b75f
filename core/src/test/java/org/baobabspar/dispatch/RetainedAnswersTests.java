package org.baobabspar.dispatch;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of {@link RetainedAnswers}.
 */
public class RetainedAnswersTests {

	private static final JobReply DONE = new JobReply(JobOutcome.COMPLETED, "done", 0);

	private final RetainedAnswers answers = new RetainedAnswers();

	@Test
	void answerIsRetainedForTheWholeTimeAndNoLonger() {
		this.answers.add("a", DONE, 1_000);
		this.answers.evict(1_000 + RetainedAnswers.RETENTION_MILLIS);
		Assert.assertEquals(this.answers.find("a").orElseThrow().reply(), DONE);
		this.answers.evict(1_001 + RetainedAnswers.RETENTION_MILLIS);
		Assert.assertTrue(this.answers.find("a").isEmpty());
	}

	// Guards against old answers that stay behind one that was given again.
	@Test
	void answerThatIsGivenAgainKeepsNoOlderOnes() {
		this.answers.add("b", DONE, 1_000);
		this.answers.add("c", DONE, 2_000);
		this.answers.add("b", DONE, 20_000);
		this.answers.evict(2_001 + RetainedAnswers.RETENTION_MILLIS);
		Assert.assertTrue(this.answers.find("c").isEmpty());
		Assert.assertTrue(this.answers.find("b").isPresent());
	}

	@Test
	void oldestAnswersGoFirstIfThereAreTooMany() {
		RetainedAnswers full = new RetainedAnswers();
		for (int i = 0; i < RetainedAnswers.MAX_ANSWERS + 2; i++) {
			full.add("job-" + i, DONE, 1_000);
		}
		full.evict(1_000);
		Assert.assertTrue(full.find("job-1").isEmpty());
		Assert.assertTrue(full.find("job-2").isPresent());
	}

}
