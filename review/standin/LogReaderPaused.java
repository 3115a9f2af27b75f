import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The log collector of an entry stands still for some seconds under the usual traffic.
 * Meanwhile the operator adds a queue, and a client uses it on an open connection.
 */
final class LogReaderPaused extends Case {

	private static final long TASK_MILLIS = 90;

	private static final int JOBS_PER_SECOND = 40;

	private static final String NEW_PREFIX = "/pufi791/";

	private static final String UNKNOWN_PREFIX = "/never12/";

	private final AtomicInteger sent = new AtomicInteger();

	private final AtomicInteger answered = new AtomicInteger();

	private volatile boolean trafficEnds;

	private String front;

	LogReaderPaused(Path root, Path folder) throws IOException {
		super(root, folder);
	}

	@Override
	int play() throws IOException, InterruptedException {
		this.fleet.addEntry("edge-a", "zone-a", "127.0.1.1");
		String seeds = this.fleet.setting("edge-a", "listen_addrs.control");
		this.fleet.addAgent("side-a", "zone-a", "127.0.2.1", seeds, TASK_MILLIS);
		this.fleet.addAgent("side-b", "zone-b", "127.0.2.2", seeds, TASK_MILLIS);
		publish(1, false);
		if (!startAll(List.of("edge-a"))) {
			return NOT_RUN;
		}
		this.front = this.fleet.setting("edge-a", "listen_addrs.front");
		Thread traffic = new Thread(this::sendTraffic);
		traffic.setDaemon(true);
		traffic.start();
		count("before", CONTACT_MILLIS + 1_000);
		try (Socket client = Client.connect(this.front, 20_000)) {
			expect(client, 200, PREFIX);
			if (this.trouble) {
				this.fleet.collectLogs("edge-a", false);
			}
			count("after", 8_000);
			publish(2, true);
			count("after the new version", CONFIG_APPLY_MILLIS + 2_000);
			client.getOutputStream().write(Client.request("GET", NEW_PREFIX, HOST, "", ""));
			this.record.add("client sends GET " + NEW_PREFIX + " on its open connection");
			Balancer.sleep(500);
			if (this.trouble) {
				this.fleet.collectLogs("edge-a", true);
			}
			Client.Answer answer = Client.read(client.getInputStream());
			this.record.add("client gets " + answer.status() + " " + answer.body());
			count("at the end", 4_000);
			this.trafficEnds = true;
			return (answer.status() == 404) ? BROKEN : (answer.status() == 200) ? HELD : NOT_RUN;
		}
	}

	private void expect(Socket client, int status, String prefix) throws IOException {
		client.getOutputStream().write(Client.request("GET", prefix, HOST, "", ""));
		int seen = Client.read(client.getInputStream()).status();
		this.record.add("client gets " + seen + " for GET " + prefix + " on its open connection");
		if (seen != status) {
			throw new IOException("status " + seen);
		}
	}

	private void count(String what, long millis) {
		int sentBefore = this.sent.get();
		int answeredBefore = this.answered.get();
		Balancer.sleep(millis);
		String ready = this.fleet.setting("edge-a", "listen_addrs.ready");
		int readyStatus = Client.send(ready, "GET", "/ready", ready, "", "", 1_000).status();
		this.record.add("traffic " + what + " in " + millis + " ms: jobs sent " + (this.sent.get() - sentBefore)
				+ ", completed " + (this.answered.get() - answeredBefore) + ", GET /ready " + readyStatus);
	}

	private void sendTraffic() {
		String body = "{\"spec\":\"review\",\"best_effort\":true,\"steps\":[{\"count\":2,\"cpu\":3100,\"mem_mb\":64,"
				+ "\"est_runtime_ms\":" + TASK_MILLIS + "}]}";
		for (int i = 0; !this.trafficEnds; i++) {
			String id = String.format("%016x", 0x5c0e7a2100000000L + i);
			Thread client = new Thread(() -> sendJob(id, body));
			client.setDaemon(true);
			client.start();
			if (i % JOBS_PER_SECOND == 0) {
				Thread counter = new Thread(
						() -> Client.send(this.front, "GET", UNKNOWN_PREFIX, HOST, "", "", 1_500));
				counter.setDaemon(true);
				counter.start();
			}
			Balancer.sleep(1_000 / JOBS_PER_SECOND);
		}
	}

	private void sendJob(String id, String body) {
		this.sent.incrementAndGet();
		this.record.add("client sends POST " + id);
		Client.Answer answer = Client.send(this.front, "POST", PREFIX + id, HOST, "Request-Timeout-Ms: 1500\r\n", body,
				1_500);
		this.record.add("client gets " + answer.status() + " for POST " + id);
		if (answer.status() == 200) {
			this.answered.incrementAndGet();
		}
	}

	public static void main(String[] args) throws IOException {
		new LogReaderPaused(Path.of(args[0]), Path.of(args[1])).run();
	}

}
