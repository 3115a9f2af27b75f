package org.baobabspar.wire;

import java.util.Arrays;
import java.util.List;

import org.baobabspar.message.AgentHeartbeat;
import org.baobabspar.message.AgentHello;
import org.baobabspar.message.AgentInfo;
import org.baobabspar.message.AgentNotice;
import org.baobabspar.message.AgentState;
import org.baobabspar.message.Dispatch;
import org.baobabspar.message.EntryInfo;
import org.baobabspar.message.EntryLoss;
import org.baobabspar.message.Fence;
import org.baobabspar.message.FenceReply;
import org.baobabspar.message.JobEnded;
import org.baobabspar.message.Message;
import org.baobabspar.message.MessageType;
import org.baobabspar.message.PeerWelcome;
import org.baobabspar.model.Claim;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.JobAnswer;
import org.baobabspar.model.ResultCode;
import org.baobabspar.model.TaskOutcome;
import org.baobabspar.model.TaskStatus;
import org.baobabspar.usage.UsageCount;
import org.baobabspar.usage.UsageKey;
import org.baobabspar.usage.UsageRecord;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Frames of each kind there and back, and frames that must be turned down.
 */
public class FrameCodecTests {

	private final FrameCodec codec = new FrameCodec();

	@DataProvider
	public Object[][] messages() {
		EntryInfo e = new EntryInfo("e", "i", "d", "10.0.0.1", 7070);
		UsageRecord u = new UsageRecord("a@1", new UsageKey("2026-12", "p", "c", 3), new UsageCount(5, 1, 0));
		return new Object[][] { { new AgentHello(new AgentInfo("a", "i", "d", 8, 100), AgentState.SERVING, 5, 4) },
				{ new AgentHeartbeat(AgentState.DRAINING, 9, 0, 3, -1, List.of(u)) },
				{ new Fence(7, "p/k", new Claim(2, 99, 1), 5) }, { new FenceReply(7, "p/k", true, false, List.of()) },
				{ new PeerWelcome(e, 1, 2, List.of(e), List.of(new AgentNotice("a", "i", AgentState.LOST, 9)),
						List.of(new EntryLoss("x@1", 4))) },
				{ new JobEnded(JobAnswer.failed("p/k", ResultCode.OVERLOADED, "later")) } };
	}

	@Test(dataProvider = "messages")
	void messageComesBackTheSame(Message m) {
		Assert.assertEquals(this.codec.decode(this.codec.encode(m)), m);
	}

	@Test
	void dispatchKeepsItsPayload() {
		Dispatch d = new Dispatch("p/k", new Claim(1, 2, 3), 4, 5, 6, 7, "p", "c", 8, 9, new byte[] { 0, -1, 127 });
		Dispatch r = (Dispatch) this.codec.decode(this.codec.encode(d));
		Assert.assertEquals(r.payload(), d.payload());
		Assert.assertEquals(r.claim(), d.claim());
	}

	@Test
	void fenceReplyKeepsItsOutcomes() {
		TaskOutcome o = new TaskOutcome(3, TaskStatus.DONE, 300, new byte[] { 7 }, 12);
		FenceReply r = (FenceReply) this.codec
			.decode(this.codec.encode(new FenceReply(7, "p/k", true, false, List.of(o, TaskOutcome.running(4)))));
		Assert.assertEquals(r.started().get(0).result(), o.result());
		Assert.assertEquals(r.started().get(0).code(), 300);
		Assert.assertEquals(r.started().get(1).status(), TaskStatus.RUNNING);
	}

	@DataProvider
	public Object[][] broken() {
		byte[] good = this.codec.encode(new Fence(7, "p/k", new Claim(2, 99, 1), 5));
		byte[] version = good.clone();
		version[0] = 9;
		byte[] type = good.clone();
		type[1] = 99;
		byte[] body = good.clone();
		body[2] = (byte) 0xc1;
		byte[] cut = Arrays.copyOf(good, good.length - 3);
		byte[] claim = this.codec.encode(new Fence(7, "p/k", new Claim(2, 99, 1), 5));
		claim[1] = (byte) MessageType.DISPATCH.number();
		return new Object[][] { { version, ResultCode.FRAME_VERSION }, { type, ResultCode.FRAME_TYPE },
				{ body, ResultCode.FRAME_BODY }, { cut, ResultCode.FRAME_BODY }, { new byte[1], ResultCode.FRAME_BODY },
				{ claim, ResultCode.FRAME_BODY } };
	}

	@Test(dataProvider = "broken")
	void brokenFrameIsTurnedDown(byte[] frame, ResultCode code) {
		try {
			this.codec.decode(frame);
			Assert.fail("accepted");
		}
		catch (CodedException ex) {
			Assert.assertEquals(ex.code(), code);
		}
	}

	@Test
	void typesHaveNumbersOfTheirOwn() {
		long numbers = Arrays.stream(MessageType.values()).mapToInt(MessageType::number).distinct().count();
		Assert.assertEquals(numbers, MessageType.values().length);
	}

}
