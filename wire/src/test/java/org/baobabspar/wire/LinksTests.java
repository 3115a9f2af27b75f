package org.baobabspar.wire;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.baobabspar.message.Message;
import org.baobabspar.message.PeerGoodbye;
import org.baobabspar.message.PeerHeartbeat;
import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/**
 * Tests of {@link Links} over sockets on the loopback interface.
 */
public class LinksTests {

	private static final long TIMEOUT_SECONDS = 30;

	private final BlockingQueue<String> serverEvents = new LinkedBlockingQueue<>();

	private final BlockingQueue<String> clientEvents = new LinkedBlockingQueue<>();

	private Scheduler control;

	private LoopResources loops;

	private Links server;

	private Links client;

	private int port;

	@BeforeMethod
	void setUp() {
		this.serverEvents.clear();
		this.clientEvents.clear();
		this.control = Schedulers.newSingle("test");
		this.loops = LoopResources.create("test", 1, 1, true, true);
		this.server = new Links(this.control, this.loops, new Recorder(this.serverEvents));
		this.client = new Links(this.control, this.loops, new Recorder(this.clientEvents));
		this.port = this.server.listen("127.0.0.1", 0);
	}

	@AfterMethod(alwaysRun = true)
	void tearDown() {
		this.client.close();
		this.server.close();
		this.control.dispose();
		this.loops.dispose();
	}

	private static String next(BlockingQueue<String> events) throws InterruptedException {
		String event = events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		Assert.assertNotNull(event, "no event within " + TIMEOUT_SECONDS + " s");
		return event;
	}

	@Test
	void messagesArriveInOrderBeforeEndOfLink() throws InterruptedException {
		String address = "127.0.0.1:" + this.port;
		this.client.connect(address);
		Assert.assertEquals(next(this.clientEvents), "up " + address);
		for (int i = 0; i < 100; i++) {
			this.client.send(address, new PeerHeartbeat(i));
		}
		Assert.assertEquals(next(this.serverEvents), "up in-1");
		for (int i = 0; i < 100; i++) {
			Assert.assertEquals(next(this.serverEvents), "in-1 " + new PeerHeartbeat(i));
		}
		this.client.disconnect(address);
		Assert.assertEquals(next(this.serverEvents), "down in-1 false");
	}

	@Test
	void refusedConnectionIsReported() throws InterruptedException {
		this.server.close();
		this.client.connect("127.0.0.1:" + this.port);
		Assert.assertEquals(next(this.clientEvents), "down 127.0.0.1:" + this.port + " true");
	}

	@DataProvider
	public Object[][] invalidAddresses() {
		return new Object[][] { { "" }, { "nowhere" }, { ":7070" }, { "127.0.0.1:" }, { "127.0.0.1:x" },
				{ "127.0.0.1:-1" }, { "127.0.0.1:0" }, { "127.0.0.1:65536" }, { "127.0.0.1:99999999999" } };
	}

	@Test(dataProvider = "invalidAddresses")
	void invalidAddressDoesNotAffectOtherLinks(String invalid) throws InterruptedException {
		CodedException ex = Assert.expectThrows(CodedException.class, () -> this.client.connect(invalid));
		Assert.assertEquals(ex.code(), ResultCode.SETTING_INVALID);
		String address = "127.0.0.1:" + this.port;
		this.client.connect(address);
		Assert.assertEquals(next(this.clientEvents), "up " + address);
	}

	@DataProvider
	public Object[][] malformedFrames() {
		return new Object[][] { { "unknown type", 2, new byte[] { FrameCodec.VERSION, 99 } },
				{ "other version", 2, new byte[] { 9, 1 } }, { "unreadable body", 3, new byte[] { 1, 1, (byte) 0xc1 } },
				{ "oversized", FrameCodec.MAX_FRAME_BYTES + 1, new byte[] { 1, 1 } } };
	}

	@Test(dataProvider = "malformedFrames")
	void malformedFrameClosesOnlyItsLink(String what, int length, byte[] content)
			throws InterruptedException, IOException {
		String address = "127.0.0.1:" + this.port;
		this.client.connect(address);
		Assert.assertEquals(next(this.serverEvents), "up in-1");
		next(this.clientEvents);
		try (Socket socket = new Socket("127.0.0.1", this.port)) {
			DataOutputStream out = new DataOutputStream(socket.getOutputStream());
			out.writeInt(length);
			out.write(content);
			Assert.assertEquals(next(this.serverEvents), "up in-2");
			Assert.assertEquals(next(this.serverEvents), "down in-2 false", what);
			Assert.assertEquals(socket.getInputStream().read(), -1);
		}
		this.client.send(address, new PeerGoodbye("e@1"));
		Assert.assertEquals(next(this.serverEvents), "in-1 " + new PeerGoodbye("e@1"));
	}

	/** Records events as text. */
	private record Recorder(BlockingQueue<String> events) implements LinkHandler {

		@Override
		public void linkUp(String link) {
			this.events.add("up " + link);
		}

		@Override
		public void receive(String link, Message message) {
			this.events.add(link + " " + message);
		}

		@Override
		public void linkDown(String link, boolean refused) {
			this.events.add("down " + link + " " + refused);
		}

	}

}
