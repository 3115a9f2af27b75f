import java.io.IOException;
import java.util.Map;

/** A client hands in jobs whose spec ends in the middle of a character pair. */
final class SpecText extends Scenario {

	private static final int[] LENGTHS = { 10, 300, 2_000 };

	public static void main(String[] args) {
		main(new SpecText(), args);
	}

	@Override
	boolean play(Record record) throws Exception {
		boolean held = true;
		try (Deployment d = new Deployment(record, 1, 2, 200, 32_000)) {
			d.configure(7, 0);
			d.awaitReady(30_000);
			for (int length : LENGTHS) {
				String id = String.format("%016x", length);
				String json = "x".repeat(length) + (this.trouble ? "\\ud83d" : "\\ud83d\\ude00");
				handIn(d, id, json);
				String sent = (String) Json.read("\"" + json + "\"");
				for (Worker.Run run : d.runsOf(id)) {
					if (!run.spec.equals(sent)) {
						record.add("another spec: sent " + Worker.printable(sent) + ", started " + run);
						held = false;
					}
				}
			}
		}
		return held;
	}

	private static void handIn(Deployment d, String id, String spec) throws IOException {
		try (Client client = new Client(d.fronts.get("e1"), 6_000)) {
			client.send("POST", Deployment.PREFIX + id,
					Map.of("Host", Deployment.HOST, "Request-Timeout-Ms", "5000"),
					"{\"spec\":\"" + spec
							+ "\",\"best_effort\":true,\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"est_runtime_ms\":200}]}");
			d.record.add("job " + id + " sent, spec=" + ((spec.length() > 40) ? spec.length() + " characters" : spec));
			d.record.add("job " + id + " answered " + client.receive());
		}
	}

}
