import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client cancels its job. Other clients cancel jobs of theirs, and a copy of the request of the first job arrives
 * seconds later.
 */
final class ForgottenCancel extends Scenario {

	private static final int JOBS = 3;

	private static final int CLIENTS = 50;

	private static final int CANCELS = 90;

	private static final long CANCEL_AFTER_MILLIS = 500;

	private static final long COPY_AFTER_MILLIS = 10_000;

	private static final long CANCEL_MILLIS = 3_000;

	private static final int TIMEOUT_MILLIS = 12_000;

	public static void main(String[] args) {
		main(new ForgottenCancel(), args);
	}

	@Override
	boolean play(Record record) throws Exception {
		boolean held = true;
		try (Deployment d = new Deployment(record, 2, 3, 2_100, 32_000)) {
			d.configure(7, 2);
			d.awaitReady(30_000);
			for (int i = 1; i <= JOBS; i++) {
				String id = String.format("a%014x%x", System.nanoTime() & 0xffffffffffffL, i);
				held &= play(d, id, i);
			}
		}
		return held;
	}

	private boolean play(Deployment d, String id, int round) throws Exception {
		Future<?> first = d.threads.submit(() -> submit(d, "e1", id));
		TimeUnit.MILLISECONDS.sleep(CANCEL_AFTER_MILLIS);
		int status = cancel(d, id);
		long cancelledMillis = Record.millis();
		d.record.add("job " + id + " cancelled at e2, status " + status);
		first.get();
		if (d.runsOf(id).isEmpty()) {
			throw new IllegalStateException("the job had not started when it was cancelled");
		}
		if (status != 200 && status != 410) {
			throw new IllegalStateException("the job is not cancelled");
		}
		if (this.trouble) {
			cancelOthers(d, round);
		}
		TimeUnit.MILLISECONDS.sleep(Math.max(0, COPY_AFTER_MILLIS - (Record.millis() - cancelledMillis)));
		d.record.add("a copy of job " + id + " arrives at e2");
		submit(d, "e2", id);
		boolean held = true;
		for (Worker.Run run : d.runsOf(id)) {
			if (run.startMillis > cancelledMillis + CANCEL_MILLIS) {
				held = false;
				d.record.add("started " + (run.startMillis - cancelledMillis) + " ms after its cancelling: " + run);
			}
		}
		return held;
	}

	private void cancelOthers(Deployment d, int round) throws Exception {
		AtomicInteger confirmed = new AtomicInteger();
		List<Future<?>> clients = new ArrayList<>();
		for (int c = 0; c < CLIENTS; c++) {
			int client = c;
			clients.add(d.threads.submit(() -> {
				for (int k = 0; k < CANCELS; k++) {
					int status = cancel(d, String.format("c%01x%06x%08x", round, client, k));
					confirmed.addAndGet((status == 200 || status == 410) ? 1 : 0);
				}
				return null;
			}));
		}
		for (Future<?> client : clients) {
			client.get();
		}
		d.record.add(CLIENTS + " clients have cancelled " + CLIENTS * CANCELS + " other jobs at e2, " + confirmed
				+ " confirmed");
	}

	private static int cancel(Deployment d, String id) throws IOException {
		try (Client client = new Client(d.fronts.get("e2"), TIMEOUT_MILLIS)) {
			client.send("DELETE", Deployment.PREFIX + id, Map.of("Host", Deployment.HOST), "");
			return client.receive().status();
		}
	}

	private static void submit(Deployment d, String entry, String id) {
		try (Client client = new Client(d.fronts.get(entry), TIMEOUT_MILLIS)) {
			client.send("POST", Deployment.PREFIX + id, Map.of("Host", Deployment.HOST, "Request-Timeout-Ms", "10000"),
					"{\"spec\":\"text\",\"best_effort\":true,\"steps\":[{\"count\":2,\"cpu\":3100,\"mem_mb\":64,\"est_runtime_ms\":1286}]}");
			d.record.add("job " + id + " sent to " + entry);
			d.record.add("job " + id + " answered by " + entry + " " + client.receive());
		}
		catch (IOException ex) {
			d.record.add("job " + id + " at " + entry + " " + ex);
		}
	}

}
