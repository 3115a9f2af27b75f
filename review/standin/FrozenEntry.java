import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * An entry freezes under the usual traffic. Its clients get no response in time, close
 * their connections and send their jobs again, to the other entry. Then it wakes.
 */
final class FrozenEntry extends Case {

	private static final long TASK_MILLIS = 1_286;

	private static final int JOBS_PER_SECOND = 56;

	private static final int AGENTS = 11;

	private static final int CLIENT_WAITS_MILLIS = 1_500;

	private static final long RETRANSMIT_MILLIS = 1_300;

	private static final long FREEZE_MILLIS = 5_000;

	private static final long BETWEEN_MILLIS = 5_000;

	private static final int FREEZES = 3;

	private volatile boolean trafficEnds;

	private Balancer ingress;

	private Balancer otherIngress;

	FrozenEntry(Path root, Path folder) throws IOException {
		super(root, folder);
	}

	@Override
	int play() throws IOException, InterruptedException {
		this.fleet.addEntry("edge-a", "zone-a", "127.0.1.1");
		this.fleet.addEntry("edge-b", "zone-b", "127.0.1.2");
		String seeds = this.fleet.setting("edge-a", "listen_addrs.control") + ","
				+ this.fleet.setting("edge-b", "listen_addrs.control");
		for (int i = 1; i <= AGENTS; i++) {
			this.fleet.addAgent("side-" + i, (i % 2 == 0) ? "zone-a" : "zone-b", "127.0.2." + i, seeds, TASK_MILLIS);
		}
		publish(1, false);
		if (!startAll(List.of("edge-a", "edge-b"))) {
			return NOT_RUN;
		}
		this.ingress = new Balancer("127.0.0.1", List.of(ingressEntry("edge-a"), ingressEntry("edge-b")), this.record);
		this.otherIngress = new Balancer("127.0.0.1", List.of(ingressEntry("edge-b"), ingressEntry("edge-a")),
				this.record);
		Balancer.sleep(CONTACT_MILLIS);
		Thread traffic = new Thread(this::sendTraffic);
		traffic.setDaemon(true);
		traffic.start();
		Balancer.sleep(4_000);
		for (int i = 0; i < FREEZES; i++) {
			if (this.trouble) {
				this.fleet.signal("edge-a", "STOP");
			}
			Balancer.sleep(FREEZE_MILLIS);
			if (this.trouble) {
				this.fleet.signal("edge-a", "CONT");
			}
			Balancer.sleep(BETWEEN_MILLIS);
		}
		this.trafficEnds = true;
		this.record.add("runs that began beside another one of their task: " + this.fleet.witness.overlaps());
		return (this.fleet.witness.overlaps() > 0) ? BROKEN : HELD;
	}

	private void sendTraffic() {
		for (int i = 0; !this.trafficEnds; i++) {
			String id = String.format("%016x", 0x5c0e7a2100000000L + i);
			Thread client = new Thread(() -> sendJob(id));
			client.setDaemon(true);
			client.start();
			Balancer.sleep(1_000 / JOBS_PER_SECOND);
		}
	}

	private void sendJob(String id) {
		String body = "{\"spec\":\"review\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,"
				+ "\"est_runtime_ms\":" + TASK_MILLIS + "}]}";
		int status = send(this.ingress, id, body);
		if (status == 0 || status == 502 || status == 504) {
			Balancer.sleep(RETRANSMIT_MILLIS);
			send(this.otherIngress, id, body);
		}
	}

	private int send(Balancer to, String id, String body) {
		this.record.add("client sends POST " + id + ((to == this.ingress) ? "" : " again, to the other zone"));
		int status = Client.send(to.address(), "POST", PREFIX + id, HOST,
				"Request-Timeout-Ms: " + CLIENT_WAITS_MILLIS + "\r\n", body, CLIENT_WAITS_MILLIS).status();
		this.record.add("client " + ((status == 0) ? "gets no answer and closes" : "gets " + status) + " for POST " + id);
		return status;
	}

	public static void main(String[] args) throws IOException {
		new FrozenEntry(Path.of(args[0]), Path.of(args[1])).run();
	}

}
