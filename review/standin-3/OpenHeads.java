import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Many clients send the head of a request, made of very many short fields, stop just short of its end and stay
 * connected. An entry that ends is started again.
 */
final class OpenHeads extends Scenario {

	private static final int ENTRIES = 2;

	private static final int ROUNDS = 3;

	private static final int CLIENTS = 1_000;

	private static final int HEAD_BYTES = 8_000;

	private static final int CHUNK_BYTES = 2_000;

	private static final int CONNECT_MILLIS = 3_000;

	private static final long ROUND_MILLIS = 15_000;

	private static final long RESTART_DELAY_MILLIS = 1_000;

	private static final long WORK_MILLIS = 200;

	private final int[] ends = new int[ENTRIES + 1];

	public static void main(String[] args) {
		main(new OpenHeads(), args);
	}

	@Override
	boolean play(Record record) throws Exception {
		try (Deployment d = new Deployment(record, ENTRIES, 3, WORK_MILLIS, 32_000)) {
			d.configure(7, 2, 0);
			for (int round = 1; round <= ROUNDS; round++) {
				d.awaitReady(30_000);
				play(d, round);
			}
			d.recordLogs("OutOfMemory");
			int machines = 0;
			for (int i = 1; i <= ENTRIES; i++) {
				record.add("entry e" + i + " has ended by itself " + this.ends[i] + " times");
				machines += (this.ends[i] >= 3) ? 1 : 0;
			}
			return machines < 2;
		}
	}

	private void play(Deployment d, int round) throws Exception {
		String head = head();
		d.record.add("round " + round + ": " + CLIENTS + " clients of each entry send " + head.length()
				+ " bytes of a head");
		List<Client> clients = new CopyOnWriteArrayList<>();
		for (int i = 1; i <= ENTRIES; i++) {
			String entry = "e" + i;
			d.threads.execute(() -> connect(d, entry, head, clients));
		}
		for (long until = Record.millis() + ROUND_MILLIS; Record.millis() < until;) {
			TimeUnit.MILLISECONDS.sleep(100);
			if (!d.alive("e1") && !d.alive("e2")) {
				break;
			}
		}
		for (int i = 1; i <= ENTRIES; i++) {
			if (!d.alive("e" + i)) {
				this.ends[i]++;
				d.record.add("entry e" + i + " has ended with status " + d.processes.get("e" + i).exitValue());
			}
		}
		if (!this.trouble && clients.size() < ENTRIES * CLIENTS) {
			throw new IllegalStateException("only " + clients.size() + " clients have connected");
		}
		for (Client client : clients) {
			client.close();
		}
		for (int i = 1; i <= ENTRIES; i++) {
			if (!d.alive("e" + i)) {
				TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MILLIS);
				d.startEntry(i);
			}
			else {
				d.record.add("job at e" + i + " answered " + handIn(d, "e" + i, round));
			}
		}
	}

	/** Returns a head without its end; without the disruption it has few long fields in place of many short ones. */
	private String head() {
		StringBuilder out = new StringBuilder("POST " + Deployment.PREFIX + "00000000000000ff HTTP/1.1\r\nHost: "
				+ Deployment.HOST + "\r\nContent-Type: application/json\r\n");
		while (out.length() < HEAD_BYTES) {
			out.append(this.trouble ? "a:\r\n" : "X-Text: " + "a".repeat(990) + "\r\n");
		}
		return out.toString();
	}

	private static void connect(Deployment d, String entry, String head, List<Client> clients) {
		int sent = 0;
		try {
			for (; sent < CLIENTS; sent++) {
				Client client = new Client(d.fronts.get(entry), CONNECT_MILLIS);
				clients.add(client);
				for (int from = 0; from < head.length(); from += CHUNK_BYTES) {
					client.send(head.substring(from, Math.min(head.length(), from + CHUNK_BYTES)));
				}
			}
			d.record.add(sent + " clients have sent their head to " + entry);
		}
		catch (IOException ex) {
			d.record.add("after " + sent + " clients of " + entry + ": " + ex);
		}
	}

	private static String handIn(Deployment d, String entry, int round) {
		try (Client client = new Client(d.fronts.get(entry), 6_000)) {
			client.send("POST", Deployment.PREFIX + String.format("%016x", round),
					Map.of("Host", Deployment.HOST, "Request-Timeout-Ms", "5000"),
					"{\"spec\":\"text\",\"best_effort\":true,\"steps\":[{\"count\":2,\"cpu\":100,\"est_runtime_ms\":200}]}");
			return client.receive().toString();
		}
		catch (IOException ex) {
			return ex.toString();
		}
	}

}
