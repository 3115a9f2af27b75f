package org.baobabspar.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.baobabspar.daemon.Control;
import org.baobabspar.fleet.Route;
import org.baobabspar.fleet.RoutingTable;
import org.baobabspar.fleet.RunKey;
import org.baobabspar.message.EntryWelcome;
import org.baobabspar.message.LeaseGrant;
import org.baobabspar.message.LeaseRequest;
import org.baobabspar.message.Message;
import org.baobabspar.message.RoutingNotice;
import org.baobabspar.message.SupervisorHello;
import org.baobabspar.supervise.EndpointDriver;
import org.baobabspar.supervise.EndpointLease;
import org.baobabspar.supervise.EndpointReport;
import org.baobabspar.wire.LinkHandler;
import org.baobabspar.wire.LinkLimits;
import org.baobabspar.wire.Links;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/**
 * Tests of {@link AgentNode}.
 */
public class AgentNodeTests {

	private static final long TIMEOUT_SECONDS = 60;

	@DataProvider
	Object[][] oddAddresses() {
		return new Object[][] { { "" }, { "nowhere" }, { ":1" }, { "127.0.0.1:" }, { "127.0.0.1:0" },
				{ "127.0.0.1:65536" }, { "127.0.0.1:99999999999" }, { "127.0.0.1:-5" }, { "[[[[" }, { "\u0000:\u0000" },
				{ "x".repeat(100_000) + ":7" } };
	}

	@Test(dataProvider = "oddAddresses")
	void goodEntryIsLinkedBesideAnOddOne(String odd) throws InterruptedException {
		LoopResources loops = LoopResources.create("test", 1, true);
		Scheduler control = Schedulers.newSingle("entry");
		CountDownLatch linked = new CountDownLatch(2);
		try (Links first = new Links(control, loops, new UpCounter(linked));
				Links second = new Links(control, loops, new UpCounter(linked))) {
			List<String> addresses = new ArrayList<>();
			addresses.add("127.0.0.1:" + first.listen("127.0.0.1", 0));
			addresses.add("127.0.0.1:" + second.listen("127.0.0.1", 0));
			addresses.add(1, odd);
			AgentNode agent = new AgentNode("agent", "domain", Control::monotonicMillis, loops, (a) -> new IdleDriver(),
					(checkpoint) -> {
					}, new RejectedInputs((source) -> {
					}));
			agent.discover(addresses);
			Assert.assertTrue(linked.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
		}
		finally {
			control.dispose();
			loops.dispose();
		}
	}

	// Guards against an entry that no agent can link to any more, because the agents send
	// it a large routing table as their first frame.
	@Test
	void largeRoutingTableReachesAnEntryThatHasNone() throws InterruptedException {
		LoopResources loops = LoopResources.create("test", 1, true);
		Scheduler control = Schedulers.newSingle("entry");
		Route route = new Route("r", "host", "/" + "x".repeat(100_000), "service", 0, 3, 1.6, 60, "");
		RoutingTable table = new RoutingTable(2, List.of(route), 1);
		RoutingEntry informed = new RoutingEntry(table);
		RoutingEntry uninformed = new RoutingEntry(null);
		LinkLimits limits = new LinkLimits(EntryNode.MAX_FRAME_BYTES, 1_000);
		try (Links first = new Links(control, loops, informed, limits);
				Links second = new Links(control, loops, uninformed, limits)) {
			informed.links = first;
			uninformed.links = second;
			AgentNode agent = new AgentNode("agent", "domain", Control::monotonicMillis, loops, (a) -> new IdleDriver(),
					(checkpoint) -> {
					}, new RejectedInputs((source) -> {
					}));
			agent.discover(List.of("127.0.0.1:" + first.listen("127.0.0.1", 0)));
			Assert.assertTrue(informed.greeted.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
			agent.discover(List.of("127.0.0.1:" + second.listen("127.0.0.1", 0)));
			Assert.assertTrue(uninformed.informed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
		}
		finally {
			control.dispose();
			loops.dispose();
		}
	}

	/** An entry that tells its agents of a routing table, or hears of one from them. */
	private static final class RoutingEntry implements LinkHandler {

		private final CountDownLatch greeted = new CountDownLatch(1);

		private final CountDownLatch informed = new CountDownLatch(1);

		private final RoutingTable table;

		private volatile Links links;

		RoutingEntry(RoutingTable table) {
			this.table = table;
		}

		@Override
		public void linkUp(String link) {
			long version = 0;
			if (this.table != null) {
				this.links.send(link, new RoutingNotice(this.table));
				version = this.table.version();
			}
			this.links.send(link, new EntryWelcome("entry", 1, 1, version));
		}

		@Override
		public void receive(String link, Message message) {
			if (message instanceof SupervisorHello) {
				this.greeted.countDown();
			}
			else if (message instanceof LeaseRequest request) {
				this.links.send(link, new LeaseGrant(request.sentMillis(), 0, 0));
			}
			else if (message instanceof RoutingNotice) {
				this.informed.countDown();
			}
		}

		@Override
		public void linkDown(String link, boolean refused) {
		}

	}

	private record UpCounter(CountDownLatch linked) implements LinkHandler {

		@Override
		public void linkUp(String link) {
			this.linked.countDown();
		}

		@Override
		public void receive(String link, Message message) {
		}

		@Override
		public void linkDown(String link, boolean refused) {
		}

	}

	private static final class IdleDriver implements EndpointDriver {

		@Override
		public void attach(EndpointReport report) {
		}

		@Override
		public void start(RunKey run, String payload, EndpointLease lease, long fence) {
		}

		@Override
		public void stop(String task, long number, long fence) {
		}

		@Override
		public void poll(EndpointLease lease, long confirmed, long waitMillis, long fence) {
		}

		@Override
		public void probe(long confirmed, long fence) {
		}

	}

}
