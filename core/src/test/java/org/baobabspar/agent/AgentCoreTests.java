package org.baobabspar.agent;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.baobabspar.message.AgentInfo;
import org.baobabspar.message.Dispatch;
import org.baobabspar.message.EntryHello;
import org.baobabspar.message.EntryInfo;
import org.baobabspar.message.Fence;
import org.baobabspar.message.FenceReply;
import org.baobabspar.message.JobSuperseded;
import org.baobabspar.message.Message;
import org.baobabspar.message.TaskEnded;
import org.baobabspar.message.TaskRefused;
import org.baobabspar.model.Claim;
import org.baobabspar.model.ResultCode;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The gate of an agent against each kind of dispatch and fence.
 */
public class AgentCoreTests {

	private static final long WINDOW_MILLIS = 60_000;

	private static final long LEASE_MILLIS = 3_000;

	private final List<Message> sent = new ArrayList<>();

	private final List<String> started = new ArrayList<>();

	private AgentCore agent;

	private long now;

	@BeforeMethod
	void setUp() {
		this.sent.clear();
		this.started.clear();
		this.now = 100_000;
		this.agent = new AgentCore(new AgentInfo("a", "i1", "d", 2, 100),
				new AgentSettings(2, 1, WINDOW_MILLIS, LEASE_MILLIS, 500, 3_000, 5, 1000), new AgentOutbox() {

					@Override
					public void send(String link, Message m) {
						AgentCoreTests.this.sent.add(m);
					}

					@Override
					public void start(LedgerTask task, byte[] payload) {
						AgentCoreTests.this.started.add(task.jobId() + "#" + task.index());
					}

				});
		greet("l1", "e1");
		greet("l2", "e2");
		this.sent.clear();
	}

	private void greet(String link, String entry) {
		this.agent.linkUp(this.now, link);
		this.agent.receive(this.now, link, new EntryHello(new EntryInfo(entry, "i", "d", "127.0.0.1", 1), List.of()));
	}

	private static Claim claim(int attempt) {
		return new Claim(attempt, 7, 0);
	}

	private void dispatch(String link, int attempt, int index, long id, long stamp, long body) {
		this.agent.receive(this.now, link,
				new Dispatch("p/k", claim(attempt), index, id, stamp, 0, "p", "c", 1, body, new byte[] { 1 }));
	}

	private void dispatch(String link, int attempt, int index, long id) {
		dispatch(link, attempt, index, id, this.now, 1);
	}

	private FenceReply fence(String link, int attempt, long body) {
		this.agent.receive(this.now, link, new Fence(1, "p/k", claim(attempt), body));
		return last(FenceReply.class);
	}

	private <T> T last(Class<T> type) {
		List<T> all = this.sent.stream().filter(type::isInstance).map(type::cast).toList();
		Assert.assertFalse(all.isEmpty(), "no " + type.getSimpleName() + " in " + this.sent);
		return all.get(all.size() - 1);
	}

	@DataProvider
	public Object[][] refusals() {
		return new Object[][] { { "stamp older than the lease", ResultCode.GATE_LEASE_EXPIRED, 2, 4_000L, 1L, false },
				{ "claim below a fence", ResultCode.GATE_FENCED, 1, 0L, 1L, false },
				{ "body of another job", ResultCode.KEY_REUSED, 2, 0L, 2L, false },
				{ "draining", ResultCode.GATE_DRAINING, 2, 0L, 1L, true } };
	}

	@Test(dataProvider = "refusals")
	void dispatchIsRefused(String why, ResultCode code, int attempt, long age, long body, boolean drain) {
		dispatch("l1", 2, 0, 1);
		fence("l1", 2, 1);
		if (drain) {
			this.agent.drain(this.now);
		}
		dispatch("l1", attempt, 1, 2, this.now - age, body);
		Assert.assertEquals(last(TaskRefused.class).code(), code.number(), why);
		Assert.assertEquals(this.started, List.of("p/k#0"));
	}

	@Test
	void secondDispatchOfATaskStartsNothing() {
		dispatch("l1", 1, 0, 1);
		dispatch("l1", 1, 0, 1);
		dispatch("l2", 2, 0, 9);
		Assert.assertEquals(this.started, List.of("p/k#0"));
	}

	@Test
	void endedTaskIsToldAgainForADuplicate() {
		dispatch("l1", 1, 0, 1);
		this.agent.taskEnded(this.now, "p/k", 0, ResultCode.COMPLETE, new byte[] { 5 });
		this.sent.clear();
		dispatch("l1", 1, 0, 1);
		Assert.assertEquals(last(TaskEnded.class).outcome().result(), new byte[] { 5 });
		Assert.assertEquals(this.started.size(), 1);
	}

	@Test
	void refusedDispatchIsNeverStartedByItsDuplicate() {
		dispatch("l1", 1, 0, 1, this.now - LEASE_MILLIS - 1, 1);
		dispatch("l1", 1, 0, 1);
		Assert.assertEquals(this.started, List.of());
		dispatch("l1", 1, 0, 2);
		Assert.assertEquals(this.started, List.of("p/k#0"));
	}

	@Test
	void fullAgentRefuses() {
		for (int i = 0; i < 4; i++) {
			dispatch("l1", 1, i, i + 1);
		}
		Assert.assertEquals(last(TaskRefused.class).code(), ResultCode.GATE_FULL.number());
		Assert.assertEquals(this.started, List.of("p/k#0", "p/k#1"));
		Assert.assertEquals(this.agent.waitingTasks(), 1);
	}

	@Test
	void fenceReportsStartsAndWithdrawsWhatWaits() {
		for (int i = 0; i < 3; i++) {
			dispatch("l1", 1, i, i + 1);
		}
		FenceReply r = fence("l2", 2, 1);
		Assert.assertTrue(r.accepted());
		Assert.assertEquals(r.started().stream().mapToInt((t) -> t.index()).sorted().toArray(), new int[] { 0, 1 });
		Assert.assertEquals(last(TaskRefused.class).index(), 2);
		Assert.assertEquals(last(JobSuperseded.class).claim(), claim(2));
		this.agent.taskEnded(this.now, "p/k", 0, ResultCode.COMPLETE, new byte[0]);
		Assert.assertEquals(this.started.size(), 2);
	}

	@Test
	void lowerFenceIsTurnedDown() {
		fence("l2", 3, 1);
		Assert.assertFalse(fence("l1", 2, 1).accepted());
	}

	@Test
	void fenceForAnotherBodyIsTurnedDown() {
		dispatch("l1", 1, 0, 1);
		Assert.assertTrue(fence("l2", 2, 99).bodyDiffers());
	}

	@Test
	void resultGoesToTheHolderOfTheHighestClaimAndToTheDispatcher() {
		dispatch("l1", 1, 0, 1);
		fence("l2", 2, 1);
		this.sent.clear();
		this.agent.taskEnded(this.now, "p/k", 0, ResultCode.COMPLETE, new byte[0]);
		Assert.assertEquals(this.sent.stream().filter(TaskEnded.class::isInstance).count(), 2);
	}

	@Test
	void ledgerForgetsAfterTheWindowAndRefusesWhenFull() {
		for (int i = 0; i < 5; i++) {
			dispatch("l1", 1, i, i + 1);
			this.agent.taskEnded(this.now, "p/k", i, ResultCode.COMPLETE, new byte[0]);
		}
		dispatch("l1", 1, 5, 6);
		Assert.assertEquals(last(TaskRefused.class).code(), ResultCode.GATE_LEDGER_FULL.number());
		this.now += WINDOW_MILLIS;
		this.agent.tick(this.now, 0);
		Assert.assertEquals(this.agent.ledgerStarts(), 0);
	}

	@Test
	void taskThatNeverReachedTheEndpointIsGivenBack() {
		dispatch("l1", 1, 0, 1);
		this.agent.taskNotSent(this.now, "p/k", 0);
		Assert.assertEquals(last(TaskRefused.class).code(), ResultCode.GATE_ENDPOINT_DOWN.number());
		Assert.assertEquals(fence("l2", 2, 1).started(), List.of());
	}

	/** The division of slots among entries. */
	public static class Allotment {

		@DataProvider
		public Object[][] divisions() {
			return new Object[][] { { 8, "20 3 0", "5 3 1" }, { 8, "1 0", "5 3" }, { 8, "20 20", "4 4" },
					{ 8, "0", "8" }, { 2, "5 5 5", "1 1 1" } };
		}

		@Test(dataProvider = "divisions")
		void slotsAreDividedByDemand(int slots, String demands, String limits) {
			int[] d = Arrays.stream(demands.split(" ")).mapToInt(Integer::parseInt).toArray();
			int[] want = Arrays.stream(limits.split(" ")).mapToInt(Integer::parseInt).toArray();
			Assert.assertEquals(SlotAllotment.divide(slots, d), want);
		}

	}

}
