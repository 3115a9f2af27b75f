package org.baobabspar.wire;

import java.io.IOException;
import java.math.BigInteger;
import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;

import org.baobabspar.fleet.Batches;
import org.baobabspar.fleet.CancelledJob;
import org.baobabspar.fleet.ClaimedJob;
import org.baobabspar.fleet.EndpointState;
import org.baobabspar.fleet.EndpointStatus;
import org.baobabspar.fleet.RecentJobs;
import org.baobabspar.fleet.Resources;
import org.baobabspar.fleet.RoutingTable;
import org.baobabspar.message.AgentHeartbeat;
import org.baobabspar.message.AgentHello;
import org.baobabspar.message.AgentInfo;
import org.baobabspar.message.AgentNotice;
import org.baobabspar.message.AgentState;
import org.baobabspar.message.CancelNotice;
import org.baobabspar.message.Dispatch;
import org.baobabspar.message.EntryInfo;
import org.baobabspar.message.EntryLoss;
import org.baobabspar.message.Fence;
import org.baobabspar.message.FenceReply;
import org.baobabspar.message.JobClaim;
import org.baobabspar.message.JobEnded;
import org.baobabspar.message.LeaseGrant;
import org.baobabspar.message.LeaseRequest;
import org.baobabspar.message.Message;
import org.baobabspar.message.MessageType;
import org.baobabspar.message.PeerGoodbye;
import org.baobabspar.message.PeerWelcome;
import org.baobabspar.message.RoutingNotice;
import org.baobabspar.model.Claim;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.JobAnswer;
import org.baobabspar.model.ResultCode;
import org.baobabspar.model.TaskOutcome;
import org.baobabspar.model.TaskStatus;
import org.baobabspar.usage.UsageCount;
import org.baobabspar.usage.UsageKey;
import org.baobabspar.usage.UsageRecord;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of {@link FrameCodec}: round trips of messages, and rejection of malformed
 * frames.
 */
public class FrameCodecTests {

	private final FrameCodec codec = new FrameCodec();

	// Guards against a batch of jobs that an entry does not take as the first frame.
	@Test
	void batchOfJobsFitsIntoAFirstFrame() {
		List<String> ids = LongStream.range(0, Batches.MAX_JOBS).mapToObj((i) -> String.format("%016x", i)).toList();
		List<Message> batches = List.of(
				new CancelNotice(Long.MAX_VALUE,
						ids.stream().map((id) -> new CancelledJob(id, RecentJobs.RETENTION_MILLIS)).toList()),
				new JobClaim(Long.MAX_VALUE, true, ids.stream().map((id) -> new ClaimedJob(id, true)).toList()));
		for (Message batch : batches) {
			Assert.assertTrue(this.codec.encode(batch).length < LinkLimits.MAX_FIRST_FRAME_BYTES);
		}
	}

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

	private static byte[] frame(Message type, Packing packing) throws IOException {
		try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
			out.writePayload(new byte[] { FrameCodec.VERSION, (byte) MessageType.of(type).number() });
			packing.write(out);
			return out.toByteArray();
		}
	}

	@DataProvider
	public Object[][] oddFrames() throws IOException {
		EndpointStatus status = new EndpointStatus("i", "s", EndpointState.READY, Resources.NONE, Resources.NONE,
				List.of(), 1, 0);
		LeaseRequest request = new LeaseRequest(1, status, 1);
		LeaseGrant grant = new LeaseGrant(1, 1, 1);
		RoutingNotice notice = new RoutingNotice(new RoutingTable(1, List.of(), 1));
		return new Object[][] { { "NaN", this.codec.encode(new LeaseRequest(1, withSpeed(status, Double.NaN), 1)) },
				{ "infinite", this.codec.encode(new LeaseRequest(1, withSpeed(status, Double.POSITIVE_INFINITY), 1)) },
				{ "no status", frame(request, (out) -> out.packArrayHeader(1).packLong(1)) },
				{ "route without text",
						frame(notice,
								(out) -> out.packArrayHeader(1)
									.packArrayHeader(3)
									.packLong(9)
									.packArrayHeader(1)
									.packArrayHeader(0)
									.packInt(5)) },
				{ "route is nil",
						frame(notice,
								(out) -> out.packArrayHeader(1)
									.packArrayHeader(3)
									.packLong(9)
									.packArrayHeader(1)
									.packNil()
									.packInt(5)) },
				{ "number beyond long", frame(grant,
						(out) -> out.packArrayHeader(2).packBigInteger(BigInteger.ONE.shiftLeft(63)).packLong(1)) },
				{ "text for number", frame(grant, (out) -> out.packArrayHeader(2).packString("1").packLong(1)) },
				{ "huge array",
						frame(notice,
								(out) -> out.packArrayHeader(1)
									.packArrayHeader(3)
									.packLong(9)
									.packArrayHeader(Integer.MAX_VALUE)) },
				{ "huge text",
						frame(new PeerGoodbye("e"),
								(out) -> out.packArrayHeader(1).packRawStringHeader(Integer.MAX_VALUE)) },
				{ "deep nesting", frame(grant, (out) -> {
					for (int i = 0; i < 100_000; i++) {
						out.packArrayHeader(1);
					}
				}) },
				{ "unknown state",
						frame(request,
								(out) -> out.packArrayHeader(2)
									.packLong(1)
									.packArrayHeader(3)
									.packString("i")
									.packString("s")
									.packString("NEVER")) } };
	}

	private static EndpointStatus withSpeed(EndpointStatus status, double speed) {
		return new EndpointStatus(status.endpointId(), status.service(), status.state(), status.capacity(),
				status.free(), status.labels(), speed, status.lastStartSequence());
	}

	@Test(dataProvider = "oddFrames")
	void oddFrameIsATypedError(String what, byte[] frame) {
		CodedException ex = Assert.expectThrows(CodedException.class, () -> this.codec.decode(frame));
		Assert.assertEquals(ex.code(), ResultCode.FRAME_BODY, what);
	}

	private interface Packing {

		void write(MessageBufferPacker out) throws IOException;

	}

}
