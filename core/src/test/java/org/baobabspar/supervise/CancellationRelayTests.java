package org.baobabspar.supervise;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.baobabspar.fleet.Batches;
import org.baobabspar.fleet.CancelledJob;
import org.baobabspar.fleet.RunEnd;
import org.baobabspar.message.CancelNotice;
import org.baobabspar.message.CancelReply;
import org.baobabspar.message.EntryWelcome;
import org.baobabspar.message.LeaseRequest;
import org.baobabspar.message.Message;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of {@link CancellationRelay}, alone and within a {@link RunSupervisor}.
 */
public class CancellationRelayTests {

	private static final CancelledJob JOB = new CancelledJob("job", 0);

	/**
	 * Notices that an entry waits to have confirmed.
	 */
	public static class NumberedNotices {

		private Map<String, List<Message>> sent;

		private CancellationRelay relay;

		private boolean running;

		@BeforeMethod
		void createRelay() {
			this.sent = new TreeMap<>();
			this.running = false;
			this.relay = new CancellationRelay(
					(link, message) -> this.sent.computeIfAbsent(link, (l) -> new ArrayList<>()).add(message),
					(jobId, nowMillis) -> this.running);
		}

		@Test
		void areConfirmedOnceAllOtherEntriesHaveConfirmed() {
			this.relay.handleNotice("a", new CancelNotice(7, List.of(JOB)), List.of("b", "c"), 1_000);
			Assert.assertEquals(this.sent.keySet(), Set.of("b", "c"));
			this.relay.handleReply("b", new CancelReply(1, List.of("job")));
			Assert.assertFalse(this.sent.containsKey("a"));
			this.relay.handleReply("b", new CancelReply(1, List.of()));
			Assert.assertFalse(this.sent.containsKey("a"), "a repeated confirmation stands for another entry");
			this.relay.handleReply("c", new CancelReply(1, List.of()));
			Assert.assertEquals(this.sent.get("a"), List.of(new CancelReply(7, List.of("job"))));
		}

		@Test
		void areConfirmedIfAnEntryThatWasAskedLosesItsLink() {
			this.relay.handleNotice("a", new CancelNotice(7, List.of(JOB)), List.of("b"), 1_000);
			this.relay.unlinked("b");
			Assert.assertEquals(this.sent.get("a"), List.of(new CancelReply(7, List.of())));
		}

		@Test
		void areConfirmedAtOnceByAnAgentOfOneEntry() {
			this.running = true;
			this.relay.handleNotice("a", new CancelNotice(7, List.of(JOB)), List.of(), 1_000);
			Assert.assertEquals(this.sent.get("a"), List.of(new CancelReply(7, List.of("job"))));
		}

		@Test
		void arePassedOnAgainThoughTheJobIsKnownAsCancelled() {
			this.relay.handleNotice("b", new CancelNotice(0, List.of(JOB)), List.of("a"), 1_000);
			this.sent.clear();
			this.relay.handleNotice("a", new CancelNotice(8, List.of(JOB)), List.of("b"), 1_100);
			Assert.assertEquals(this.sent, Map.of("b", List.of(new CancelNotice(1, List.of(JOB)))));
		}

		// Guards against rounds that stay for ever after their entry has gone.
		@Test
		void ofAnEntryThatHasGoneAreDropped() {
			this.relay.handleNotice("a", new CancelNotice(7, List.of(JOB)), List.of("b"), 1_000);
			this.relay.unlinked("a");
			this.relay.handleReply("b", new CancelReply(1, List.of()));
			Assert.assertFalse(this.sent.containsKey("a"));
		}

		// Guards against notices that go round between agents and entries for ever.
		@Test
		void withoutNumberArePassedOnOnce() {
			this.relay.handleNotice("a", new CancelNotice(0, List.of(JOB)), List.of("b"), 1_000);
			this.relay.handleNotice("b", new CancelNotice(0, List.of(JOB)), List.of("a"), 1_000);
			Assert.assertEquals(this.sent, Map.of("b", List.of(new CancelNotice(0, List.of(JOB)))));
		}

	}

	/**
	 * Runs of cancelled jobs.
	 */
	public static class Runs extends SupervisorFixture {

		@Test
		void areStoppedThoughAnotherEntryCancels() {
			attach(1);
			link();
			running("job/0/0");
			this.supervisor.welcomed("entry-2", new EntryWelcome("entry-2", 7, 0, 0), this.nowMillis);
			this.supervisor.cancel("entry-2", new CancelNotice(3, List.of(JOB)), this.nowMillis);
			Assert.assertEquals(this.driver.stops, List.of("job/0/0#1"));
		}

		// Guards against a start that was sent before its entry learned of the
		// cancellation, and against entries that are cut off from all others.
		@Test
		void areRefusedBeforeTheirStart() {
			attach(1);
			link();
			this.supervisor.cancel("entry-2", new CancelNotice(0, List.of(JOB)), this.nowMillis);
			order("job/0/0");
			Assert.assertEquals(this.driver.starts, List.of());
			Assert.assertEquals(ends(), List.of(RunEnd.REFUSED));
		}

		// Guards against a link that is closed at its first frame, because it is longer
		// than a link takes on which no message has arrived.
		@Test
		void areToldInSmallMessagesAfterAWave() {
			int count = 2 * Batches.MAX_JOBS + 1;
			for (int i = 0; i < count; i++) {
				this.supervisor.cancel("entry-2", new CancelNotice(0, List.of(new CancelledJob("job" + i, 0))),
						this.nowMillis);
			}
			link();
			List<Integer> sizes = this.sent.stream()
				.filter(CancelNotice.class::isInstance)
				.map((message) -> ((CancelNotice) message).jobs().size())
				.toList();
			Assert.assertEquals(sizes, List.of(Batches.MAX_JOBS, Batches.MAX_JOBS, 1));
		}

		@Test
		void areKnownToAnEntryThatLinksAgainBeforeItGrantsALease() {
			attach(1);
			this.supervisor.cancel("entry-2", new CancelNotice(0, List.of(JOB)), this.nowMillis);
			this.nowMillis += 200;
			link();
			int notice = this.sent.indexOf(new CancelNotice(0, List.of(new CancelledJob("job", 200))));
			int request = this.sent.stream().map(Message::getClass).toList().indexOf(LeaseRequest.class);
			Assert.assertTrue(notice >= 0 && notice < request, this.sent.toString());
		}

	}

}
