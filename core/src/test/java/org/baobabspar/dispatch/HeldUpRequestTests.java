package org.baobabspar.dispatch;

import java.util.List;
import java.util.function.Consumer;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of requests that the network holds up until their callers have turned to another
 * entry, in each order in which the events can follow each other.
 */
public class HeldUpRequestTests extends LinkedFleetFixture {

	private static final String TASK = "job/0/0";

	// Guards against a second run of a task by an entry that reads its request after the
	// next attempt has started, and the end of the connection last.
	@Test
	void doesNotStartWhileTheNextAttemptRuns() {
		this.second.submit("job", true);
		deliver();
		Consumer<JobReply> caller = this.first.submit("job", false);
		deliver();
		Assert.assertEquals(agentsWithRunOf(TASK), List.of("agent-2"));
		this.first.readClose("job", caller);
		deliver();
		Assert.assertEquals(agentsWithRunOf(TASK), List.of("agent-2"));
		Assert.assertTrue(this.second.replies.isEmpty());
	}

	// Guards against a second run of a task by the next attempt while the run of the
	// request that was held up goes on, because the end of its connection comes last.
	@Test
	void isStoppedBeforeTheNextAttemptStarts() {
		Consumer<JobReply> caller = this.first.submit("job", false);
		deliver();
		Assert.assertEquals(agentsWithRunOf(TASK), List.of("agent-1"));
		this.second.submit("job", true);
		deliver();
		Assert.assertTrue(agentsWithRunOf(TASK).size() <= 1, "two runs");
		advance();
		Assert.assertEquals(agentsWithRunOf(TASK), List.of("agent-2"));
		this.first.readClose("job", caller);
		advance();
		Assert.assertEquals(agentsWithRunOf(TASK), List.of("agent-2"));
	}

	// Guards against a second run of a task by a claim that was granted although its
	// answers were given before the next attempt was read.
	@Test
	void goesAfterAnAttemptThatIsReadWhileItIsClaimed() {
		this.first.submit("job", false);
		this.second.submit("job", true);
		deliver();
		Assert.assertTrue(agentsWithRunOf(TASK).size() <= 1, "two runs");
		for (int i = 0; i < 10; i++) {
			advance();
			Assert.assertEquals(agentsWithRunOf(TASK), List.of("agent-2"));
		}
	}

	// Guards against two requests that were both held up and start side by side, or wait
	// for each other for ever.
	@Test
	void startsOnceIfBothAttemptsWereHeldUp() {
		this.first.submit("job", false);
		this.second.submit("job", false);
		deliver();
		advance();
		Assert.assertEquals(agentsWithRunOf(TASK).size(), 1);
		Assert.assertTrue(this.first.replies.isEmpty());
	}

	// Guards against a job that waits for ever because its claim is not granted.
	@Test
	void isDeclinedOnceItsAnswerIsOfNoUse() {
		this.second.submit("job", true);
		deliver();
		this.first.submit("job", false);
		for (int i = 0; i < 200 && this.first.replies.isEmpty(); i++) {
			advance();
		}
		Assert.assertEquals(this.first.replies.get(0).outcome(), JobOutcome.REFUSED);
		Assert.assertEquals(agentsWithRunOf(TASK), List.of("agent-2"));
	}

	// Guards against an entry whose start is refused beside another one's run and that
	// tries again at once, elsewhere.
	@Test
	void isClaimedAfterARefusalBesideAnotherRun() {
		this.second.submit("job", true);
		deliver();
		this.agents.get(0).supervisor.drain();
		advance();
		Assert.assertEquals(agentsWithRunOf(TASK), List.of("agent-2"));
		this.first.submit("job", true);
		for (int i = 0; i < 10; i++) {
			advance();
			Assert.assertEquals(agentsWithRunOf(TASK), List.of("agent-2"));
		}
		Assert.assertTrue(this.first.replies.isEmpty());
	}

}
