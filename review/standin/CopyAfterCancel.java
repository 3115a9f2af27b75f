import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A client hands in a job, cancels it and gets both answers. Then a copy of its request,
 * which was held up on the way, arrives at another entry.
 */
final class CopyAfterCancel extends Case {

	private static final long TASK_MILLIS = 900;

	private static final int STEPS = 8;

	private static final String JOB = "0b5e7a21d94b36c4";

	CopyAfterCancel(Path root, Path folder) throws IOException {
		super(root, folder);
	}

	@Override
	int play() throws IOException, InterruptedException {
		this.fleet.addEntry("edge-a", "zone-a", "127.0.1.1");
		this.fleet.addEntry("edge-b", "zone-b", "127.0.1.2");
		String seeds = this.fleet.setting("edge-a", "listen_addrs.control") + ","
				+ this.fleet.setting("edge-b", "listen_addrs.control");
		this.fleet.addAgent("side-a", "zone-a", "127.0.2.1", seeds, TASK_MILLIS);
		this.fleet.addAgent("side-b", "zone-b", "127.0.2.2", seeds, TASK_MILLIS);
		publish(1, false);
		if (!startAll(List.of("edge-a", "edge-b"))) {
			return NOT_RUN;
		}
		Balancer.sleep(CONTACT_MILLIS + 1_000);
		String first = this.fleet.setting("edge-a", "listen_addrs.front");
		String second = this.fleet.setting("edge-b", "listen_addrs.front");
		String body = job(STEPS, TASK_MILLIS);
		CompletableFuture<Client.Answer> job = callLater(first, "POST", PREFIX + JOB, body);
		Balancer.sleep(1_200);
		Client.Answer cancel = call(first, "DELETE", PREFIX + JOB, "");
		long acknowledgedMillis = Record.nowMillis();
		if (cancel.status() != 200 || job.join().status() != 200) {
			return NOT_RUN;
		}
		Balancer.sleep(CANCEL_MILLIS + 500);
		if (this.trouble) {
			callLater(second, "POST", PREFIX + JOB, body);
		}
		Balancer.sleep(3_000);
		return (startsAfter(JOB, acknowledgedMillis + CANCEL_MILLIS) > 0) ? BROKEN : HELD;
	}

	public static void main(String[] args) throws IOException {
		new CopyAfterCancel(Path.of(args[0]), Path.of(args[1])).run();
	}

}
