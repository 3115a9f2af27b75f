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
 * Tests of {@link FrameCodec}: round trips of messages, and rejection of malformed
 * frames.
 */
public class FrameCodecTests {

	private final FrameCodec codec = new FrameCodec();

	@DataProvider
	public Object[][] messages() {
		EntryInfo entry = new EntryInfo("e", "i", "d", "10.0.0.1", 7070);
		UsageRecord usage = new UsageRecord("a@1", new UsageKey("2026-12", "p", "c", 3), new UsageCount(5, 1, 0));
		return new Object[][] { { new AgentHello(new AgentInfo("a", "i", "d", 8, 100), AgentState.SERVING, 5, 4) },
				{ new AgentHeartbeat(AgentState.DRAINING, 9, 0, 3, -1, List.of(usage)) },
				{ new Fence(7, "p/k", new Claim(2, 99, 1), 5) }, { new FenceReply(7, "p/k", true, false, List.of()) },
				{ new PeerWelcome(entry, 1, 2, List.of(entry), List.of(new AgentNotice("a", "i", AgentState.LOST, 9)),
						List.of(new EntryLoss("x@1", 4))) },
				{ new JobEnded(JobAnswer.failed("p/k", ResultCode.OVERLOADED, "later")) } };
	}

	@Test(dataProvider = "messages")
	void messageSurvivesRoundTrip(Message message) {
		Assert.assertEquals(this.codec.decode(this.codec.encode(message)), message);
	}

	@Test
	void dispatchPayloadSurvivesRoundTrip() {
		Dispatch dispatch = new Dispatch("p/k", new Claim(1, 2, 3), 4, 5, 6, 7, "p", "c", 8, 9,
				new byte[] { 0, -1, 127 });
		Dispatch decoded = (Dispatch) this.codec.decode(this.codec.encode(dispatch));
		Assert.assertEquals(decoded.payload(), dispatch.payload());
		Assert.assertEquals(decoded.claim(), dispatch.claim());
	}

	@Test
	void fenceReplyOutcomesSurviveRoundTrip() {
		TaskOutcome outcome = new TaskOutcome(3, TaskStatus.DONE, 300, new byte[] { 7 }, 12);
		FenceReply decoded = (FenceReply) this.codec
			.decode(this.codec.encode(new FenceReply(7, "p/k", true, false, List.of(outcome, TaskOutcome.running(4)))));
		Assert.assertEquals(decoded.started().get(0).result(), outcome.result());
		Assert.assertEquals(decoded.started().get(0).code(), 300);
		Assert.assertEquals(decoded.started().get(1).status(), TaskStatus.RUNNING);
	}

	@DataProvider
	public Object[][] malformedFrames() {
		byte[] valid = this.codec.encode(new Fence(7, "p/k", new Claim(2, 99, 1), 5));
		byte[] version = valid.clone();
		version[0] = 9;
		byte[] type = valid.clone();
		type[1] = 99;
		byte[] body = valid.clone();
		body[2] = (byte) 0xc1;
		byte[] truncated = Arrays.copyOf(valid, valid.length - 3);
		byte[] wrongType = this.codec.encode(new Fence(7, "p/k", new Claim(2, 99, 1), 5));
		wrongType[1] = (byte) MessageType.DISPATCH.number();
		return new Object[][] { { version, ResultCode.FRAME_VERSION }, { type, ResultCode.FRAME_TYPE },
				{ body, ResultCode.FRAME_BODY }, { truncated, ResultCode.FRAME_BODY },
				{ new byte[1], ResultCode.FRAME_BODY }, { wrongType, ResultCode.FRAME_BODY } };
	}

	@Test(dataProvider = "malformedFrames")
	void malformedFrameIsRejected(byte[] frame, ResultCode code) {
		try {
			this.codec.decode(frame);
			Assert.fail("malformed frame was accepted");
		}
		catch (CodedException ex) {
			Assert.assertEquals(ex.code(), code);
		}
	}

	@Test
	void messageTypeNumbersAreUnique() {
		long numbers = Arrays.stream(MessageType.values()).mapToInt(MessageType::number).distinct().count();
		Assert.assertEquals(numbers, MessageType.values().length);
	}

}
