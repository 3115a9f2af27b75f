import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A client leaves before its deadline while the path between it and its entry is cut, and hands the job in again at
 * another entry.
 */
final class UnseenLeave extends Scenario {

	private static final int JOBS = 6;

	private static final long DEADLINE_MILLIS = 5_000;

	private static final long LEAVE_MILLIS = 300;

	private static final long RETRANSMIT_MILLIS = 1_300;

	private static final long CUT_MILLIS = 5_500;

	public static void main(String[] args) {
		main(new UnseenLeave(), args);
	}

	@Override
	boolean play(Record record) throws Exception {
		try (Deployment d = new Deployment(record, 2, 6, 2_100, 32_000)) {
			d.configure(7, 2);
			d.awaitReady(30_000);
			CutProxy path = new CutProxy(d.fronts.get("e1"), d.threads);
			List<String> ids = new ArrayList<>();
			for (int i = 1; i <= JOBS; i++) {
				String id = String.format("%015x%x", System.nanoTime() & 0xffffffffffffL, i);
				ids.add(id);
				play(d, path, id);
			}
			return ids.stream().filter((id) -> overlaps(d, id)).count() == 0;
		}
	}

	private void play(Deployment d, CutProxy path, String id) throws Exception {
		Client first = new Client(path.address(), 20_000);
		submit(first, id);
		d.record.add("job " + id + " sent to e1");
		TimeUnit.MILLISECONDS.sleep(LEAVE_MILLIS);
		if (d.runsOf(id).isEmpty()) {
			throw new IllegalStateException("the job has not started at e1");
		}
		if (this.trouble) {
			path.cut(true);
			d.record.add("path between the client and e1 is cut");
		}
		TimeUnit.MILLISECONDS.sleep(5);
		first.close();
		long leftMillis = Record.millis();
		d.record.add("job " + id + " its client leaves");
		TimeUnit.MILLISECONDS.sleep(RETRANSMIT_MILLIS);
		try (Client second = new Client(d.fronts.get("e2"), 20_000)) {
			submit(second, id);
			d.record.add("job " + id + " sent again to e2, " + (Record.millis() - leftMillis) + " ms after the client left");
			d.record.add("job " + id + " answered by e2 " + second.receive());
		}
		TimeUnit.MILLISECONDS.sleep(Math.max(0, CUT_MILLIS - (Record.millis() - leftMillis)));
		path.cut(false);
		d.record.add("path between clients and e1 works");
		TimeUnit.MILLISECONDS.sleep(1_000);
	}

	private static void submit(Client client, String id) throws Exception {
		client.send("POST", Deployment.PREFIX + id,
				Map.of("Host", Deployment.HOST, "Request-Timeout-Ms", Long.toString(DEADLINE_MILLIS)),
				"{\"spec\":\"text\",\"best_effort\":true,\"steps\":[{\"count\":2,\"cpu\":3100,\"mem_mb\":64,\"est_runtime_ms\":1286}]}");
	}

	private static boolean overlaps(Deployment d, String id) {
		List<Worker.Run> runs = d.runsOf(id);
		boolean found = false;
		for (int i = 0; i < runs.size(); i++) {
			for (int k = i + 1; k < runs.size(); k++) {
				Worker.Run a = runs.get(i);
				Worker.Run b = runs.get(k);
				long sharedMillis = Math.min(a.endMillis, b.endMillis) - Math.max(a.startMillis, b.startMillis);
				if (a.task.equals(b.task) && sharedMillis > 0) {
					found = true;
					d.record.add("two runs at the same time for " + sharedMillis + " ms: " + a + " and " + b);
				}
			}
		}
		return found;
	}

}
