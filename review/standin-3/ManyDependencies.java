import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Three clients send large jobs of legal size, one after the other, whose second step names its only earlier step very
 * many times. Another client hands in ordinary jobs at the same entry.
 */
final class ManyDependencies extends Scenario {

	private static final long PLAY_MILLIS = 60_000;

	private static final int LARGE_CLIENTS = 3;

	private static final int BODY_BYTES = 240_000;

	private static final long STAGGER_MILLIS = 700;

	private static final long PAUSE_MILLIS = 100;

	private static final long RETRANSMIT_MILLIS = 1_300;

	private volatile boolean over;

	public static void main(String[] args) {
		main(new ManyDependencies(), args);
	}

	@Override
	boolean play(Record record) throws Exception {
		try (Deployment d = new Deployment(record, 1, 3, 2_100, 32_000)) {
			d.configure(7, 2, 0);
			d.awaitReady(30_000);
			long until = Record.millis() + PLAY_MILLIS;
			for (int c = 1; c <= LARGE_CLIENTS; c++) {
				int number = c;
				d.threads.execute(() -> sendLargeJobs(d, number));
				TimeUnit.MILLISECONDS.sleep(STAGGER_MILLIS);
			}
			TimeUnit.MILLISECONDS.sleep(3_000);
			int sent = 0;
			int served = 0;
			while (Record.millis() < until) {
				sent++;
				served += handIn(d, String.format("%016x", sent), until) ? 1 : 0;
			}
			this.over = true;
			record.add("ordinary jobs: " + sent + " handed in, " + served + " answered with success");
			record.add("entry e1: " + (d.alive("e1") ? "runs" : "has ended") + ", ready: " + d.ready("e1"));
			d.recordLogs("stalled_ms");
			return served > 0;
		}
	}

	/** Sends jobs of 1,200 tasks; without the disruption their second step names the first one once. */
	private void sendLargeJobs(Deployment d, int number) {
		StringBuilder earlier = new StringBuilder("0");
		while (this.trouble && earlier.length() < BODY_BYTES) {
			earlier.append(",0");
		}
		for (int i = 1; !this.over; i++) {
			String id = String.format("b%01x%014x", number, i);
			String body = "{\"spec\":\"200 ms\",\"best_effort\":true,\"steps\":["
					+ "{\"count\":1,\"cpu\":100,\"mem_mb\":1,\"est_runtime_ms\":100},"
					+ "{\"count\":1199,\"cpu\":3100,\"mem_mb\":64,\"est_runtime_ms\":1286,\"depends_on\":[" + earlier
					+ "]}]}";
			try (Client client = new Client(d.fronts.get("e1"), 60_000)) {
				client.send("POST", Deployment.PREFIX + id,
						Map.of("Host", Deployment.HOST, "Request-Timeout-Ms", "10000"), body);
				d.record.add("large job " + id + " of " + body.length() + " bytes sent");
				d.record.add("large job " + id + " answered " + client.receive());
				TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
			}
			catch (IOException | InterruptedException ex) {
				d.record.add("large job " + id + " " + ex);
			}
		}
	}

	/** Hands a job in, and again when it was not answered, for as long as its client waits. */
	private boolean handIn(Deployment d, String id, long until) throws Exception {
		long giveUp = Math.min(until, Record.millis() + 10_000);
		while (Record.millis() < giveUp) {
			try (Client client = new Client(d.fronts.get("e1"), 6_000)) {
				client.send("POST", "/queue1/" + id,
						Map.of("Host", Deployment.HOST, "Request-Timeout-Ms", "5000"),
						"{\"spec\":\"text\",\"best_effort\":true,\"steps\":[{\"count\":2,\"cpu\":3100,\"mem_mb\":64,\"est_runtime_ms\":1286}]}");
				d.record.add("job " + id + " sent");
				Client.Answer answer = client.receive();
				d.record.add("job " + id + " answered " + answer);
				if (answer.status() == 200) {
					return answer.body().contains("completed");
				}
			}
			catch (IOException ex) {
				d.record.add("job " + id + " " + ex);
			}
			TimeUnit.MILLISECONDS.sleep(RETRANSMIT_MILLIS);
		}
		return false;
	}

}
