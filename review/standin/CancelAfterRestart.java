import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A client hands in a job while the entry of its zone is restarted, so the job is at the
 * entry of the nearest zone. When its own entry is back, the client cancels the job.
 */
final class CancelAfterRestart extends Case {

	private static final long TASK_MILLIS = 900;

	private static final int STEPS = 24;

	private static final String JOB = "5c0e7a21d94b36f8";

	CancelAfterRestart(Path root, Path folder) throws IOException {
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
		Balancer ingress = new Balancer("127.0.0.1", List.of(ingressEntry("edge-a"), ingressEntry("edge-b")), this.record);
		Balancer.sleep(CONTACT_MILLIS + 1_000);
		if (this.trouble) {
			this.fleet.signal("edge-a", "TERM");
			awaitRotation(ingress, false);
		}
		CompletableFuture<Client.Answer> job = callLater(ingress.address(), "POST", PREFIX + JOB,
				job(STEPS, TASK_MILLIS));
		if (this.trouble) {
			if (!this.fleet.awaitExit("edge-a", 6_000)) {
				return NOT_RUN;
			}
			Balancer.sleep(500);
			this.fleet.start("edge-a");
			awaitRotation(ingress, true);
			Balancer.sleep(CONTACT_MILLIS + 1_000);
		}
		else {
			Balancer.sleep(2_000);
		}
		if (this.fleet.starts(JOB).isEmpty() || job.isDone()) {
			return NOT_RUN;
		}
		Client.Answer cancel = call(ingress.address(), "DELETE", PREFIX + JOB, "");
		long acknowledgedMillis = Record.nowMillis();
		if (cancel.status() != 200 && cancel.status() != 410) {
			return NOT_RUN;
		}
		Balancer.sleep(CANCEL_MILLIS + 4_000);
		return (startsAfter(JOB, acknowledgedMillis + CANCEL_MILLIS) > 0) ? BROKEN : HELD;
	}

	private void awaitRotation(Balancer ingress, boolean wanted) {
		long untilMillis = Record.nowMillis() + 20_000;
		while (ingress.inRotation("edge-a") != wanted && Record.nowMillis() < untilMillis) {
			Balancer.sleep(20);
		}
	}

	public static void main(String[] args) throws IOException {
		new CancelAfterRestart(Path.of(args[0]), Path.of(args[1])).run();
	}

}
