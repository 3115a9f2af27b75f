import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The operator removes a queue while a job of it runs, and the client cancels the job. */
final class CancelAfterRouteDropped extends Case {

	private static final long TASK_MILLIS = 900;

	private static final int STEPS = 24;

	private static final String PATH = "/pufi791/";

	private static final String JOB = "77aa01c2d94b3601";

	CancelAfterRouteDropped(Path root, Path folder) throws IOException {
		super(root, folder);
	}

	@Override
	int play() throws IOException, InterruptedException {
		this.fleet.addEntry("edge-a", "zone-a", "127.0.1.1");
		String seeds = this.fleet.setting("edge-a", "listen_addrs.control");
		this.fleet.addAgent("side-a", "zone-a", "127.0.2.1", seeds, TASK_MILLIS);
		this.fleet.addAgent("side-b", "zone-b", "127.0.2.2", seeds, TASK_MILLIS);
		publish(1, true);
		if (!startAll(List.of("edge-a"))) {
			return NOT_RUN;
		}
		Balancer.sleep(CONTACT_MILLIS + 1_000);
		String front = this.fleet.setting("edge-a", "listen_addrs.front");
		CompletableFuture<Client.Answer> job = callLater(front, "POST", PATH + JOB, job(STEPS, TASK_MILLIS));
		Balancer.sleep(1_500);
		publish(2, !this.trouble);
		Balancer.sleep(CONFIG_APPLY_MILLIS + 500);
		if (this.fleet.starts(JOB).isEmpty() || job.isDone()) {
			return NOT_RUN;
		}
		long sentMillis = Record.nowMillis();
		long boundMillis = sentMillis + ACK_MILLIS + CANCEL_MILLIS;
		boolean acknowledged = false;
		while (!acknowledged && Record.nowMillis() < sentMillis + ACK_MILLIS) {
			int status = call(front, "DELETE", PATH + JOB, "").status();
			acknowledged = status == 200 || status == 410;
			if (acknowledged) {
				boundMillis = Record.nowMillis() + CANCEL_MILLIS;
			}
			Balancer.sleep(500);
		}
		this.record.add("cancel acknowledged=" + acknowledged);
		Balancer.sleep(boundMillis - Record.nowMillis() + 4_000);
		return (startsAfter(JOB, boundMillis) > 0) ? BROKEN : HELD;
	}

	public static void main(String[] args) throws IOException {
		new CancelAfterRouteDropped(Path.of(args[0]), Path.of(args[1])).run();
	}

}
